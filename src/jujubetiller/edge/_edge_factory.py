"""The factory of the HTTP connections of a listener."""

from typing import Any

from twisted.internet import interfaces
from twisted.web import http

from jujubetiller import clock
from jujubetiller.edge import _edge_channel, _edge_handler

IDLE_TIMEOUT_MS = 60_000.0
"""A connection without pending requests is closed after this long without data."""

IDLE_CHECK_INTERVAL_MS = 5_000.0


class EdgeFactory(http.HTTPFactory):
    """Builds HTTP connections that pass their requests to ``handler``.

    ``channels`` holds the open connections; ``connections_refused`` and
    ``bodies_refused`` count what exceeded ``max_connections`` and
    ``max_body_bytes``.
    """

    protocol = _edge_channel.EdgeChannel  # type: ignore[assignment]

    def __init__(
        self,
        reactor: Any,
        time_source: clock.Clock,
        handler: _edge_handler.EdgeHandler,
        max_body_bytes: int,
        max_connections: int,
    ) -> None:
        super().__init__(timeout=None, reactor=reactor)  # type: ignore[arg-type]
        self.clock = time_source
        self.handler = handler
        self.max_body_bytes = max_body_bytes
        self.max_connections = max_connections
        self.idle_ms = IDLE_TIMEOUT_MS
        self.channels: set[_edge_channel.EdgeChannel] = set()
        self.connections_refused = 0
        self.bodies_refused = 0
        reactor.callLater(IDLE_CHECK_INTERVAL_MS / 1000.0, self.close_idle)

    def startFactory(self) -> None:
        """Do nothing: the base class would format the date of an access log."""

    def buildProtocol(self, address: interfaces.IAddress | None) -> Any:
        """Return a connection, or ``None`` when ``max_connections`` are open."""
        if len(self.channels) >= self.max_connections:
            self.connections_refused += 1
            return None
        return super().buildProtocol(address)

    def close_idle(self) -> None:
        """Close connections idle for more than ``idle_ms`` without pending requests."""
        self.reactor.callLater(IDLE_CHECK_INTERVAL_MS / 1000.0, self.close_idle)
        oldest_ms = self.clock.now_ms() - self.idle_ms
        for channel in tuple(self.channels):
            transport: Any = channel.transport
            if (
                channel.last_active_ms < oldest_ms
                and not channel.requests
                and not transport.disconnecting
            ):
                channel.loseConnection()  # type: ignore[no-untyped-call]

    def close_unused(self) -> None:
        """Close the connections without pending requests, once their data is sent."""
        for channel in tuple(self.channels):
            if not channel.requests:
                channel.loseConnection()  # type: ignore[no-untyped-call]

    def log(self, request: http.Request) -> None:
        """Write no access log: the node's own records replace it."""
