"""The configuration of a target's behaviour."""

import attrs

from jujubetiller import schema, settings

FAULTS = ("none", "close", "freeze")
HEALTH = ("truth", "good", "bad")
ANY = "*"


def _check_fault(instance: object, attribute: object, value: str) -> None:
    if value not in FAULTS:
        raise schema.FieldError("fault", f"allowed are {', '.join(FAULTS)}")


def _check_health(instance: object, attribute: object, value: str) -> None:
    if value not in HEALTH:
        raise schema.FieldError("health", f"allowed are {', '.join(HEALTH)}")


@attrs.frozen
class NestedCall:
    """A call that a run makes to another service."""

    service: str
    path: str
    method: str = "POST"

    retries: int = 0
    """Retries by the target itself after a failed attempt."""


@attrs.frozen
class PathPlan:
    """How a call of a path runs: its own run time, then nested calls in sequence."""

    run_ms: float = 10.0

    spread_ms: float = 0.0
    """The run time is uniformly distributed within plus or minus this much."""

    answer_bytes: int = 0
    """Size of the padding in the answer."""

    calls: tuple[NestedCall, ...] = ()

    fault: str = attrs.field(default="none", validator=_check_fault)
    """``close`` closes the connection within the body; ``freeze`` never answers."""


@attrs.frozen
class TargetPlan:
    """The arguments of a target.

    ``paths`` and ``routes`` may have an entry ``*`` for all others. A route
    lists the addresses to which nested calls of a service are sent: normally
    ``*`` with the service listener of the target's own node.
    """

    instance: str
    service: str
    slots: int = 8
    queue_length: int = 16

    sheds: bool = True
    """Whether a refusal for a full queue says that the call was not run."""

    cold_ms: float = 0.0
    cold_factor: float = 1.0
    """Runs that start in the first ``cold_ms`` take this many times longer."""

    paths: dict[str, PathPlan] = attrs.field(factory=dict)
    routes: dict[str, tuple[settings.Address, ...]] = attrs.field(factory=dict)
    seed: int = 1
    port: int = 0


@attrs.frozen
class TargetState:
    """What ``PUT /_state`` replaces while the target runs."""

    draining: bool = False

    health: str = attrs.field(default="truth", validator=_check_health)
    """``truth`` reports the real state; ``good`` and ``bad`` are fixed reports."""
