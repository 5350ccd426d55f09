"""The listener that accepts streams from peers."""

from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces, protocol

from jujubetiller import codes
from jujubetiller.streams import (
    _peer_identity,
    _received_calls,
    _server_stream,
    _stream_context,
)


class StreamListener(protocol.ServerFactory):
    """Builds a stream for each connection, up to ``max_streams``."""

    noisy = False

    def __init__(
        self,
        context: _stream_context.StreamContext,
        on_ready: Callable[[_peer_identity.PeerIdentity], None],
    ) -> None:
        self.context = context
        self.on_ready = on_ready
        self.streams: set[_server_stream.ServerStream] = set()
        self.received_calls = _received_calls.ReceivedCalls()
        self.closing = False

    def buildProtocol(
        self, addr: interfaces.IAddress | None
    ) -> protocol.Protocol | None:
        """Return a stream, or None to close the connection immediately."""
        if self.closing:
            return None
        if len(self.streams) >= self.context.settings.max_streams:
            reason = codes.ResultCode.TOO_MANY_STREAMS.name.lower()
            self.context.statistics.refusals[reason] += 1
            return None
        stream = _server_stream.ServerStream(
            self.context, self._ready, self._closed, self.received_calls
        )
        self.streams.add(stream)
        return stream

    def _ready(self, stream: Any) -> None:
        self.context.statistics.streams_accepted += 1
        key = stream.find_key()
        if key is not None:
            self.received_calls.add(key, stream)
        self.on_ready(stream.peer)

    def _closed(self, stream: Any, reason: str) -> None:
        self.streams.discard(stream)
        key = stream.find_key()
        if key is not None:
            self.received_calls.remove(key, stream.last_call_id)
