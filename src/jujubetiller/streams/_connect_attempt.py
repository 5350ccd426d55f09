"""One attempt to connect a stream."""

from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces, protocol
from twisted.python import failure

from jujubetiller.streams import _caller_stream, _stream_context


class ConnectAttempt(protocol.ClientFactory):
    """Connects to a peer and waits for its HELLO.

    Exactly one of ``on_ready`` and ``on_failed`` is called, once.
    """

    noisy = False

    def __init__(
        self,
        context: _stream_context.StreamContext,
        on_ready: Callable[[_caller_stream.CallerStream], None],
        on_failed: Callable[[str], None],
        on_closed: Callable[[_caller_stream.CallerStream], None],
    ) -> None:
        self.context = context
        self.on_ready = on_ready
        self.on_failed = on_failed
        self.on_closed = on_closed
        self.started_at_ms = context.clock.now_ms()
        self.is_over = False
        self.connector: Any = None
        """Twisted's connector, None until ``connectTCP`` returned."""

        self.stream: _caller_stream.CallerStream | None = None

    def buildProtocol(
        self, addr: interfaces.IAddress | None
    ) -> protocol.Protocol | None:
        """Return the stream for the connection, or None after a failure."""
        if self.is_over:
            return None
        self.stream = _caller_stream.CallerStream(
            self.context, self._stream_ready, self._stream_closed
        )
        return self.stream

    def clientConnectionFailed(
        self, connector: interfaces.IConnector, reason: failure.Failure
    ) -> None:
        """Fail the attempt: the connection could not be made."""
        self.fail("connect_failed")

    def _stream_ready(self, stream: _caller_stream.CallerStream) -> None:
        self.is_over = True
        self.context.statistics.streams_opened += 1
        self.on_ready(stream)

    def _stream_closed(self, stream: _caller_stream.CallerStream, reason: str) -> None:
        if stream.peer is None:
            self.fail(reason)
        else:
            self.on_closed(stream)

    def fail(self, reason: str) -> None:
        """Fail the attempt, unless it is over, and drop its connection."""
        if self.is_over:
            return
        self.is_over = True
        if self.stream is not None:
            self.stream.abort(reason)
        elif self.connector is not None:
            self.connector.disconnect()
        self.on_failed(reason)
