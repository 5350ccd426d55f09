"""What routing must know about an instance."""

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
    """How much longer the instance is slow after its start, if that is known."""

    @functools.cached_property
    def address(self) -> settings.Address:
        """The address of the node's peer listener."""
        return settings.Address(self.host, self.peer_port)

    def may_be_process_of(self, other: "RoutableInstance") -> bool:
        """Return whether both may be one process.

        A published list names no process, so an entry without a boot id may be
        any process of the instance.
        """
        if not self.boot_id or not other.boot_id:
            return True
        return (self.incarnation, self.boot_id) == (other.incarnation, other.boot_id)
