"""A request for a stream to a peer, without any message."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from jujubetiller import codes
from jujubetiller.streams import _outgoing, _peer_identity, _stream_context

if TYPE_CHECKING:
    from jujubetiller.streams import _caller_stream


class OutgoingConnect(_outgoing.Outgoing):
    """Reports the identity of the peer at an address; None if none was reached."""

    __slots__ = ("bucket", "context", "on_result")

    def __init__(
        self,
        context: _stream_context.StreamContext,
        timeout_ms: float,
        on_result: Callable[[_peer_identity.PeerIdentity | None], None],
    ) -> None:
        self.context = context
        self.on_result: Callable[[_peer_identity.PeerIdentity | None], None] | None = (
            on_result
        )
        self.bucket = context.wheel.add(self, context.clock.now_ms() + timeout_ms)

    def has_ended(self) -> bool:
        """Return whether the result was delivered."""
        return self.on_result is None

    def send_on(self, stream: "_caller_stream.CallerStream") -> None:
        """Deliver the identity of the peer of a stream that is ready."""
        self.finish(stream.peer)

    def refuse(self, code: codes.ResultCode) -> None:
        """Deliver None: no stream could be opened."""
        self.context.statistics.refusals[f"connect_{code.name.lower()}"] += 1
        self.finish(None)

    def expire(self) -> None:
        """Deliver None: no stream was ready before the timeout."""
        self.context.statistics.refusals["connect_timeout"] += 1
        self.finish(None)

    def finish(self, identity: _peer_identity.PeerIdentity | None) -> None:
        """Deliver the result once, in a later reactor turn."""
        on_result, self.on_result = self.on_result, None
        if on_result is not None:
            self.context.wheel.remove(self, self.bucket)
            self.context.call_soon(on_result, identity)
