"""A listening port of the in-memory network."""

from typing import TYPE_CHECKING, Any

import attrs
from twisted.internet import address

if TYPE_CHECKING:
    from standins.fleet import _process

HOST = "127.0.0.1"


@attrs.define(eq=False)
class Port:
    """A listening port; new connections get a protocol of its factory."""

    process: "_process.Process"
    number: int
    factory: Any

    def getHost(self) -> address.IPv4Address:
        """Return the address."""
        return address.IPv4Address("TCP", HOST, self.number)

    def stopListening(self) -> None:
        """Remove the port, so that further connections are refused."""
        self.process.network.ports.pop(self.number, None)
