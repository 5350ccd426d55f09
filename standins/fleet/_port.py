"""A listening port of the in-memory network."""

from typing import TYPE_CHECKING, Any

import attrs
from twisted.internet import address as internet_address

if TYPE_CHECKING:
    from standins.fleet import _process

HOST = "127.0.0.1"


@attrs.define(eq=False)
class Port:
    """A listening port; new connections get a protocol of its factory."""

    process: "_process.Process"
    number: int
    factory: Any

    address: internet_address.IPv4Address
    """The address that the process asked for; ``number`` is unique in the network."""

    def getHost(self) -> internet_address.IPv4Address:
        """Return the address."""
        return self.address

    def stopListening(self) -> None:
        """Remove the port, so that further connections are refused."""
        self.process.network.ports.pop(self.number, None)
