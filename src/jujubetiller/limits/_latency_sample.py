"""What a guard measures of a finished call for its limit policy."""

import attrs


@attrs.define
class LatencySample:
    """The run time and result of one call at the target.

    The guard reuses one sample object, which saves an allocation per call, so a
    policy must copy what it keeps.
    """

    at_ms: float = 0.0
    """Time of the guard's clock at the end of the call."""

    run_ms: float = 0.0
    """Time at the target without the queue wait and without nested calls."""

    in_flight: int = 0
    """Calls running at the target when this one ended, itself included."""

    kind: str = ""
    """Request kind of the call."""

    succeeded: bool = True
    """False when the target shed the call, timed out or closed the connection."""
