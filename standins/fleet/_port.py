"""A listener in memory."""

from typing import TYPE_CHECKING, Any

import attrs
from twisted.internet import address

if TYPE_CHECKING:
    from standins.fleet import _process

HOST = "127.0.0.1"


@attrs.define(eq=False)
class Port:
    """A listener."""

    process: "_process.Process"
    number: int
    factory: Any

    def getHost(self) -> address.IPv4Address:
        """Return the address."""
        return address.IPv4Address("TCP", HOST, self.number)

    def stopListening(self) -> None:
        """Refuse further connections."""
        self.process.network.ports.pop(self.number, None)
