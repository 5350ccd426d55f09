"""The handling of messages from peers."""

from collections.abc import Callable

from jujubetiller import calls, codes, crashes, edge, frames, streams
from jujubetiller.mesh import (
    _ingress_call,
    _mesh_parts,
    _quota_exchange,
    _state_exchange,
    _state_pusher,
    _store_reading,
)


class PeerCalls(streams.StreamHandler):
    """Runs peers' calls at the target and answers their state requests."""

    reading: _store_reading.StoreReading
    """Set before the first listener is opened."""

    crash_exchange: crashes.CrashExchange
    """Set before the first listener is opened."""

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        self.parts = parts

    def handle_call(
        self,
        request: calls.CallRequest,
        reply: Callable[[calls.CallAnswer], None],
    ) -> Callable[[], None]:
        """Run a call at the node's own target, or answer a state request."""
        if request.service == _state_exchange.STATE_SERVICE:
            self.answer_node(request, reply)
            return edge.do_nothing
        if request.service != self.parts.settings.service:
            reply(calls.make_refusal(codes.ResultCode.WRONG_SERVICE))
            return edge.do_nothing
        if self.parts.state.refuses_peers and not self.parts.can_finish(
            request.deadline_left_ms
        ):
            reply(calls.make_refusal(codes.ResultCode.DRAINING))
            return edge.do_nothing
        call = _ingress_call.IngressCall(self.parts, request, reply)
        call.begin()
        return call.cancel

    def answer_node(
        self,
        request: calls.CallRequest,
        reply: Callable[[calls.CallAnswer], None],
    ) -> None:
        """Answer a message that concerns the nodes themselves."""
        if request.path == crashes.PATH:
            reply(self.crash_exchange.answer(request))
        elif request.path == _state_pusher.PATH:
            reply(self.reading.pusher.receive(request))
        elif request.path == _quota_exchange.PATH:
            self.parts.quota.receive(request, reply)
        else:
            self.reading.answer(request, reply)

    def handle_seal(self, key: str, reply: Callable[[bool], None]) -> None:
        """Confirm no seal, as this node has no execution keys."""
        reply(False)

    def handle_control(
        self,
        peer: streams.PeerIdentity,
        message: frames.Digest | frames.Pull | frames.Push,
        reply: Callable[[frames.Digest | frames.Pull | frames.Push], None],
    ) -> None:
        """Ignore messages about tickets, which this node does not have."""

    def peer_connected(self, peer: streams.PeerIdentity) -> None:
        """Do nothing: routing follows from the answers to calls."""

    def peer_lost(self, peer: streams.PeerIdentity, reason: str) -> None:
        """Ask a lost reader of the store; the stream ends the calls on it."""
        self.reading.handle_lost_peer(peer.host)

    def peer_draining(self, peer: streams.PeerIdentity) -> None:
        """Do nothing: the stream refuses further calls to the peer."""
