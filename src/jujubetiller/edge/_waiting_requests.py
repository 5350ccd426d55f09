"""The requests of a connection that wait for earlier ones."""

import collections

from jujubetiller import codes
from jujubetiller.edge import _edge_message, _exchange

MAX_WAITING_BYTES = 65_536
"""Reading pauses while the requests that wait occupy more than this. Until then the
connection is read, as nothing else shows that its client has left."""

REQUEST_COST_BYTES = 500
"""Approximate memory of a waiting request beside its head and body."""

Message = _edge_message.EdgeMessage | codes.Problem
"""A request, or why it is refused."""


class WaitingRequests:
    """Holds requests in their order, and counts the memory that they occupy."""

    def __init__(self) -> None:
        self.requests: collections.deque[tuple[_exchange.Exchange, Message]] = (
            collections.deque()
        )
        self.held_bytes = 0

    def __len__(self) -> int:
        return len(self.requests)

    def append(self, exchange: _exchange.Exchange, message: Message) -> None:
        """Add the latest request."""
        self.requests.append((exchange, message))
        self.held_bytes += REQUEST_COST_BYTES + exchange.held_bytes

    def pop(self) -> tuple[_exchange.Exchange, Message]:
        """Remove and return the oldest request."""
        exchange, message = self.requests.popleft()
        self.held_bytes -= REQUEST_COST_BYTES + exchange.held_bytes
        return exchange, message

    def clear(self) -> None:
        """Drop all requests."""
        self.requests.clear()
        self.held_bytes = 0

    def is_full(self) -> bool:
        """Return whether no more requests should be read."""
        return self.held_bytes > MAX_WAITING_BYTES
