"""The record of an instance that routing uses."""

import functools

import attrs

from jujubetiller import settings


@attrs.frozen
class RoutableInstance:
    """One incarnation of an instance, as membership reports it."""

    instance: str
    service: str
    zone: str

    host: str
    """IP address of the instance's node."""

    peer_port: int
    incarnation: int
    boot_id: str
    leaving: bool = False

    slow_start_ms: float | None = None
    """Remaining time of the instance's slow start, if that is known."""

    slots: int = 0
    """Calls that the instance declares to run at once; 0 if that is not known."""

    @functools.cached_property
    def address(self) -> settings.Address:
        """The address of the node's peer listener."""
        return settings.Address(self.host, self.peer_port)

    @functools.cached_property
    def incarnation_key(self) -> tuple[str, int, str]:
        """Identifies this incarnation among all that were ever listed."""
        return self.instance, self.incarnation, self.boot_id

    def may_be_same_process(self, other: "RoutableInstance") -> bool:
        """Return whether both records may describe the same process.

        A published list has no boot ids, so a record without one may describe any
        process of the instance.
        """
        if not self.boot_id or not other.boot_id:
            return True
        return (self.incarnation, self.boot_id) == (other.incarnation, other.boot_id)
