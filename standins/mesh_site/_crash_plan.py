"""Requests that crash the instances which run them."""

import attrs


@attrs.frozen
class Run:
    """A request that an instance began to run."""

    at_ms: float
    instance: str
    path: str


@attrs.define
class CrashPlan:
    """Which requests crash their instance, and what has happened."""

    paths: set[str] = attrs.field(factory=set)
    """Paths of the requests that crash each instance that runs them."""

    after_ms: float = 40.0
    """How long such a request runs until its instance ends."""

    down_ms: float = 3_000.0
    """How long an instance is away after a crash."""

    runs: list[Run] = attrs.field(factory=list)
    crashes: list[Run] = attrs.field(factory=list)
    """The runs that crashed their instances."""

    def list_runs(self, path: str, since_ms: float = 0.0) -> list[Run]:
        """Return the runs of ``path`` that began at ``since_ms`` or later."""
        return [run for run in self.runs if run.path == path and run.at_ms >= since_ms]
