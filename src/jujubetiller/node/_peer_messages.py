"""Handling of calls and messages from peers."""

from collections.abc import Callable

import result

from jujubetiller import calls, crashes, edge, frames, streams
from jujubetiller.node import _control_loop, _inbound_call, _node_parts


class PeerMessages(streams.StreamHandler):
    """Runs calls from peers and passes control messages to the control loop."""

    control_loop: _control_loop.ControlLoop
    """Set by ``Node.start`` before the node can receive a message from a peer."""

    crash_exchange: crashes.CrashExchange
    """Set by ``Node.start`` before the node can receive a message from a peer."""

    def __init__(self, parts: _node_parts.NodeParts) -> None:
        self.parts = parts

    def handle_call(
        self,
        request: calls.CallRequest,
        reply: Callable[[calls.CallAnswer], None],
    ) -> Callable[[], None]:
        """Run a call at the node's own target, or answer a message to the node."""
        if request.service == crashes.NODE_SERVICE:
            reply(self.crash_exchange.answer(request))
            return edge.do_nothing
        inbound_call = _inbound_call.InboundCall(self.parts, request, reply)
        inbound_call.begin()
        return inbound_call.cancel

    def handle_seal(self, key: str, reply: Callable[[bool], None]) -> None:
        """Seal a key that this process owns, unless it has run."""
        verified = self.parts.key_signer.verify(key)
        if isinstance(verified, result.Err):
            reply(False)
        else:
            reply(self.parts.executions.seal(verified.ok_value))

    def handle_control(
        self,
        peer: streams.PeerIdentity,
        message: frames.Digest | frames.Pull | frames.Push,
        reply: Callable[[frames.Digest | frames.Pull | frames.Push], None],
    ) -> None:
        """Pass a control message to the control loop."""
        self.control_loop.receive(peer, message, reply)

    def peer_connected(self, peer: streams.PeerIdentity) -> None:
        """Process the identity of a newly connected peer."""
        self.control_loop.peer_connected(peer)

    def peer_lost(self, peer: streams.PeerIdentity, reason: str) -> None:
        """Process the end of a stream, which has already ended the calls on it."""
        self.control_loop.peer_lost(peer, reason)

    def peer_draining(self, peer: streams.PeerIdentity) -> None:
        """Process a peer's announcement that it accepts no new calls."""
        self.control_loop.peer_draining(peer)
