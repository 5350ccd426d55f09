"""The record that an instance publishes about itself."""

import attrs

from jujubetiller import settings


@attrs.frozen
class PublishedInstance:
    """One incarnation of an instance."""

    instance: str
    service: str
    zone: str

    address: settings.Address
    """The address of the target, on the VM of its node."""

    slots: int
    """The number of requests that the instance runs concurrently."""

    draining: bool

    slow_start_ms: float
    """Remaining time of the instance's slow start."""

    started_unix_ms: int
    """Unix time of the instance's start; 0 if it is not known."""

    sequence: int = 0
    """Number of the instance's report; it restarts with each incarnation."""
