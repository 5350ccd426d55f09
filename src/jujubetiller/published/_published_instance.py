"""An instance as it publishes itself."""

import attrs

from jujubetiller import settings


@attrs.frozen
class PublishedInstance:
    """One lifetime of an instance."""

    instance: str
    service: str
    zone: str

    address: settings.Address
    """The address of the instance itself, on the VM of its node."""

    slots: int
    """Requests that the instance runs at once."""

    draining: bool

    slow_start_ms: float
    """How much longer the instance is slow after its start."""

    started_unix_ms: int
    """Unix time of the instance's start; 0 if it is not known."""

    sequence: int = 0
    """Number of the instance's report; it starts anew with each lifetime."""
