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

MAX_UNIDENTIFIED = 64
"""Streams that wait for the HELLO of their peer; nodes send it at once."""


class StreamListener(protocol.ServerFactory):
    """Builds a stream for each connection, up to ``max_streams``.

    Of the streams without a HELLO, the oldest is closed for the next one beyond
    ``MAX_UNIDENTIFIED``, so that they do not take the places of peers.
    """

    noisy = False

    def __init__(
        self,
        context: _stream_context.StreamContext,
        on_ready: Callable[[_peer_identity.PeerIdentity], None],
    ) -> None:
        self.context = context
        self.on_ready = on_ready
        self.streams: set[_server_stream.ServerStream] = set()
        self.unidentified: dict[_server_stream.ServerStream, None] = {}
        """The streams whose peers have not sent HELLO, the oldest first."""

        self.received_calls = _received_calls.ReceivedCalls()
        self.closing = False

    def buildProtocol(
        self, addr: interfaces.IAddress | None
    ) -> protocol.Protocol | None:
        """Return a stream, or None to close the connection immediately."""
        if self.closing:
            return None
        if len(self.unidentified) >= MAX_UNIDENTIFIED:
            self._replace_oldest()
        if len(self.streams) >= self.context.settings.max_streams:
            reason = codes.ResultCode.TOO_MANY_STREAMS.name.lower()
            self.context.statistics.refusals[reason] += 1
            return None
        stream = _server_stream.ServerStream(
            self.context, self._ready, self._closed, self.received_calls
        )
        self.streams.add(stream)
        self.unidentified[stream] = None
        return stream

    def _replace_oldest(self) -> None:
        oldest = next(iter(self.unidentified))
        del self.unidentified[oldest]
        # The transport reports the end only in a later turn of the reactor.
        self.streams.discard(oldest)
        oldest.abort("replaced_without_hello")

    def _ready(self, stream: Any) -> None:
        self.unidentified.pop(stream, None)
        self.context.statistics.streams_accepted += 1
        key = stream.find_key()
        if key is not None:
            self.received_calls.add(key, stream)
        self.on_ready(stream.peer)

    def _closed(self, stream: Any, reason: str) -> None:
        self.streams.discard(stream)
        self.unidentified.pop(stream, None)
        key = stream.find_key()
        if key is not None:
            self.received_calls.remove(key, stream.last_call_id)
