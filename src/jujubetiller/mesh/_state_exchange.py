"""Comparison of the published state among nodes."""

import bisect
from collections.abc import Callable

import logbook
import result

from jujubetiller import calls, codes, published, settings
from jujubetiller.mesh import _mesh_parts, _settling, _state_message

_LOG = logbook.Logger("jujubetiller.mesh")

STATE_SERVICE = ""
"""Calls for this service are comparisons; no real service has an empty name."""

ANSWER_TIMEOUT_MS = 1_000.0

_RECENT_SENDERS = 8
"""Peers that asked last; a node that knows no instance yet asks them."""


class StateExchange:
    """Asks two peers now and then for changes that the node lacks.

    One peer is the next one in the ring of addresses and the other is drawn, so
    that news reaches every node in a few rounds. A question tells how much its
    sender knows; a node that knows less asks back at once, which brings a
    restarted node up to date although the store may turn it away.
    """

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        state: published.PublishedState,
        settling: _settling.Settling,
        own_address: Callable[[], settings.Address],
    ) -> None:
        self.parts = parts
        self.state = state
        self.settling = settling
        self.own_address = own_address
        self.senders: list[settings.Address] = []
        self.asking: set[settings.Address] = set()
        self.is_stopped = False

    def start(self) -> None:
        """Begin to ask peers."""
        self._schedule()

    def stop(self) -> None:
        """Ask no more peers."""
        self.is_stopped = True

    def answer(self, request: calls.CallRequest) -> calls.CallAnswer:
        """Return the answer to a peer's question."""
        decoded = _state_message.decode_request(request.body)
        if isinstance(decoded, result.Err):
            _LOG.warning("question for state rejected: {}", decoded.err_value)
            return calls.make_refusal(codes.ResultCode.BAD_FRAME)
        question = decoded.ok_value
        self._note_sender(question.sender)
        if question.revision > self.state.revision:
            self.parts.reactor.callLater(0, self.ask, question.sender)
        body = _state_message.StateAnswer(
            self.state.changes_since(question.revision),
            self.settling.is_own_settled(),
        ).encode()
        return calls.CallAnswer(
            outcome=codes.Outcome.ANSWERED,
            code=codes.ResultCode.ANSWERED,
            status=200,
            body=body,
        )

    def ask(self, address: settings.Address) -> None:
        """Ask one peer for the changes that the node lacks."""
        if address in self.asking or address == self.own_address():
            return
        self.asking.add(address)
        question = _state_message.StateRequest(self.state.revision, self.own_address())
        request = calls.CallRequest(
            service=STATE_SERVICE,
            method="GET",
            path="/",
            kind="",
            priority_class=0,
            rank=0,
            idempotent=True,
            deadline_left_ms=ANSWER_TIMEOUT_MS,
            body=question.encode(),
        )
        deadline = calls.Deadline.after(self.parts.clock, ANSWER_TIMEOUT_MS)

        def answered(answer: calls.CallAnswer) -> None:
            self.asking.discard(address)
            self._take(answer)

        self.parts.pool.send_call(address, request, deadline, answered)

    def _take(self, answer: calls.CallAnswer) -> None:
        if answer.code is not codes.ResultCode.ANSWERED:
            return
        decoded = _state_message.decode_answer(answer.body)
        if isinstance(decoded, result.Err):
            _LOG.warning("state of a peer rejected: {}", decoded.err_value)
            return
        if decoded.ok_value.is_settled:
            self.settling.vouch()
        changes = decoded.ok_value.changes
        if changes.revision >= self.state.revision and changes.revision > 0:
            self.state.apply(changes)

    def _schedule(self) -> None:
        if self.is_stopped:
            return
        pause_ms = self.parts.settings.exchange_ms * (0.8 + 0.4 * self._draw())
        self.parts.reactor.callLater(pause_ms / 1000.0, self._ask_some)

    def _ask_some(self) -> None:
        if self.is_stopped:
            return
        self._schedule()
        peers = self.parts.directory.peers() or self.senders
        if not peers:
            return
        drawn = peers[int(self._draw() * len(peers))]
        for address in {self._next_in_ring(peers), drawn}:
            self.ask(address)

    def _next_in_ring(self, peers: list[settings.Address]) -> settings.Address:
        hosts = sorted(peer.host for peer in peers)
        index = bisect.bisect(hosts, self.own_address().host) % len(hosts)
        return settings.Address(hosts[index], peers[0].port)

    def _note_sender(self, address: settings.Address) -> None:
        if address not in self.senders:
            self.senders = [*self.senders[1 - _RECENT_SENDERS :], address]

    def _draw(self) -> float:
        return self.parts.random.random()
