"""What was running when an instance crashed."""

import attrs


@attrs.frozen
class CrashReport:
    """One crash of one instance, as the node beside it saw it.

    Copies of a report at several nodes are merged, so that a crash counts once.
    """

    crash_id: str
    """Unique among all crashes."""

    at_ms: float
    """When the instance ended, on the local clock; may be before the clock's zero."""

    running: tuple[int, ...]
    """Fingerprints of the requests that may have caused it, the latest start first."""

    blamed: int | None = None
    """The fingerprint of the request that caused it, if that is known."""

    cleared: frozenset[int] = frozenset()
    """Fingerprints of ``running`` that have since ended with a response."""

    @property
    def process_name(self) -> str:
        """The process that reported the crash, of which the id begins with the name."""
        return self.crash_id.rpartition(".")[0]

    def merge(self, other: "CrashReport") -> "CrashReport":
        """Return what two copies tell together, whichever comes first."""
        known = [each.blamed for each in (self, other) if each.blamed is not None]
        merged = attrs.evolve(self, cleared=self.cleared | other.cleared)
        return merged.blame(min(known)) if known else merged

    def blame(self, fingerprint: int) -> "CrashReport":
        """Return the report with its cause, without the other requests."""
        return attrs.evolve(self, blamed=fingerprint, running=(fingerprint,))

    def clear(self, fingerprint: int) -> "CrashReport":
        """Return the report with one more request that can't have caused it."""
        return attrs.evolve(self, cleared=self.cleared | {fingerprint})

    def list_suspects(self) -> list[int]:
        """Return the requests that may have caused the crash."""
        return [each for each in self.running if each not in self.cleared]
