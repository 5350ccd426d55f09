"""Settings of the connections that a node may hold."""

from typing import ClassVar

import attrs

from jujubetiller.settings import _fields

RESERVED_DESCRIPTORS = 200
"""Descriptors for files and for what the interpreter opens."""

MAX_CLIENTS = 2_000
MAX_STATUS = 64
MIN_STATUS = 4
MAX_STREAMS = 768


@attrs.frozen
class ConnectionSettings:
    """The descriptors of a process, and their parts for each kind of connection.

    The parts add up to less than all sockets. The rest is for the connections that the
    node opens to its target and to the store.
    """

    DESCRIPTORS: ClassVar[tuple[int, int]] = (300, 1_000_000)
    """Lowest and highest number of descriptors."""

    max_descriptors: int = _fields.whole_number(4_100, *DESCRIPTORS)
    """Descriptors that the process may open."""

    def count_sockets(self) -> int:
        """Return the number of sockets that the process may open."""
        return self.max_descriptors - RESERVED_DESCRIPTORS

    def count_clients(self) -> int:
        """Return the number of connections of clients and of the target."""
        return min(MAX_CLIENTS, self.count_sockets() // 2)

    def count_status(self) -> int:
        """Return the number of connections for readiness, and of those for metrics."""
        return max(MIN_STATUS, min(MAX_STATUS, self.count_sockets() // 64))

    def count_streams(self) -> int:
        """Return the number of streams from peers, and of those to peers."""
        return min(MAX_STREAMS, self.count_sockets() * 3 // 16)
