"""The factory of connections whose pipelined requests are handled concurrently."""

from typing import Any

from twisted.internet import interfaces

from jujubetiller import clock, memory
from jujubetiller.edge import (
    _connection_eviction,
    _edge_factory,
    _edge_handler,
    _pipelined_connection,
)

MAX_HEAD_BYTES = 65_536

HEAD_TIMEOUT_MS = 60_000.0
"""Time within which a client must send the complete head of a request."""

HEAD_CHECK_INTERVAL_MS = 1_000.0


class PipelinedFactory(_edge_factory.EdgeFactory):
    """Builds connections that handle several requests of a client concurrently."""

    protocol = _pipelined_connection.PipelinedConnection  # type: ignore[assignment]

    def __init__(
        self,
        reactor: Any,
        time_source: clock.Clock,
        handler: _edge_handler.EdgeHandler,
        max_body_bytes: int,
        max_connections: int,
        pipeline_depth: int = 8,
        max_head_bytes: int = MAX_HEAD_BYTES,
        account: memory.MemoryAccount | None = None,
    ) -> None:
        super().__init__(reactor, time_source, handler, max_body_bytes, max_connections)
        self.pipeline_depth = pipeline_depth
        self.max_head_bytes = max_head_bytes
        """Limit on the bytes that are received for a head or between two parts of a
        body, with those of the requests behind it."""

        self.max_header_bytes = max_head_bytes
        """Limit on the target and the headers of a request."""

        self.lingering = 0
        """Connections that discard the rest of a refused request."""

        self.account = account
        """The account of the memory that the connections hold; None for none."""

        self.connections_evicted = 0
        """Connections closed because there was no room for new ones."""

        self.head_timeout_ms = HEAD_TIMEOUT_MS
        reactor.callLater(HEAD_CHECK_INTERVAL_MS / 1000.0, self.refuse_slow_heads)

    def buildProtocol(self, address: interfaces.IAddress | None) -> Any:
        """Return a connection, or ``None`` if all ``max_connections`` are busy.

        Others are closed to make room: a client that sends nothing, or never the end
        of its request, must not keep new clients away.
        """
        if len(self.channels) >= self.max_connections:
            self.evict()
        return super().buildProtocol(address)

    def evict(self) -> None:
        """Close some connections without a request under way."""
        channels: Any = self.channels
        for channel in _connection_eviction.choose_evicted(
            channels, self.max_connections
        ):
            self.connections_evicted += 1
            # The transport reports the close only in a later turn of the reactor.
            self.channels.discard(channel)
            _connection_eviction.close_for_room(channel)

    def refuse_slow_heads(self) -> None:
        """Refuse requests whose head is incomplete after ``head_timeout_ms``.

        The bytes received of it are discarded.
        """
        self.reactor.callLater(HEAD_CHECK_INTERVAL_MS / 1000.0, self.refuse_slow_heads)
        oldest_ms = self.clock.now_ms() - self.head_timeout_ms
        for channel in tuple(self.channels):
            channel.refuse_slow_head(oldest_ms)  # type: ignore[attr-defined]
