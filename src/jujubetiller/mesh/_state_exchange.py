"""Requests of nodes for each other's published state."""

from collections.abc import Callable

import logbook
import result

from jujubetiller import calls, codes, settings
from jujubetiller.mesh import (
    _mesh_parts,
    _start_comparison,
    _state_merge,
    _state_message,
)

_LOG = logbook.Logger("jujubetiller.mesh")

STATE_SERVICE = ""
"""Calls for this service are state messages; no real service has an empty name."""

ANSWER_TIMEOUT_MS = 1_000.0

_MAX_RECENT_SENDERS = 8
"""Number of latest requesters kept; a node without known instances requests from
them."""

Ended = Callable[[_state_message.StateAnswer | None], None]
"""Called with the applied answer of a peer, or with None if there is none."""


def _do_nothing(answer: _state_message.StateAnswer | None) -> None:
    """Do nothing; the default callback."""


class StateExchange:
    """Requests missing changes from peers, and answers their requests.

    A request contains the revision of its sender; a node with a lower one sends a
    request back at once, which brings a restarted node up to date even if the store
    refuses its reads.
    """

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        merge: _state_merge.StateMerge,
        own_address: Callable[[], settings.Address],
    ) -> None:
        self.parts = parts
        self.merge = merge
        self.own_address = own_address
        self.recent_senders: list[settings.Address] = []
        self.pending: dict[tuple[settings.Address, bool], list[Ended]] = {}
        """Peers that have not answered yet, with what is called when they do."""

        self.start_comparison = _start_comparison.StartComparison(
            parts, self.request_changes
        )

    def receive(
        self, request: calls.CallRequest
    ) -> result.Result[_state_message.StateRequest, calls.CallAnswer]:
        """Return the state request in a call, or the refusal of a malformed one."""
        decoded = _state_message.decode_request(request.body)
        if isinstance(decoded, result.Err):
            _LOG.warning("state request rejected: {}", decoded.err_value)
            return result.Err(calls.make_refusal(codes.ResultCode.BAD_FRAME))
        state_request = decoded.ok_value
        self._add_sender(state_request.sender)
        if state_request.revision > self.merge.state.revision:
            self.parts.reactor.callLater(0, self.request_changes, state_request.sender)
        return decoded

    def answer(self, state_request: _state_message.StateRequest) -> calls.CallAnswer:
        """Return the answer to a peer's state request."""
        return make_call_answer(self.merge.make_answer(state_request).encode())

    def request_changes(
        self,
        address: settings.Address,
        ended: Ended = _do_nothing,
        asks_reader: bool = False,
    ) -> None:
        """Request the changes that this node lacks from one peer.

        ``ended`` is called once the answer is applied, or when there is none. With
        ``asks_reader``, the peer is asked to read the store for this node.
        """
        if address == self.own_address():
            ended(None)
            return
        callbacks = self.pending.setdefault((address, asks_reader), [])
        callbacks.append(ended)
        if len(callbacks) > 1:
            return
        state = self.merge.state
        state_request = _state_message.StateRequest(
            state.revision,
            self.own_address(),
            state.retained.digest(),
            asks_reader,
            state.is_exact(),
        )

        sent_ms = self.parts.state_age.now_ms()

        def answered(answer: calls.CallAnswer) -> None:
            callbacks = self.pending.pop((address, asks_reader), ())
            applied = self._apply_answer(answer, sent_ms)
            for callback in callbacks:
                callback(applied)

        self.send(address, "/", state_request.encode(), answered)

    def send(
        self,
        address: settings.Address,
        path: str,
        body: bytes,
        answered: Callable[[calls.CallAnswer], None],
    ) -> None:
        """Send a state message to a peer."""
        request = calls.CallRequest(
            service=STATE_SERVICE,
            method="GET",
            path=path,
            kind="",
            priority_class=0,
            rank=0,
            idempotent=True,
            deadline_left_ms=ANSWER_TIMEOUT_MS,
            body=body,
        )
        deadline = calls.Deadline.after(self.parts.clock, ANSWER_TIMEOUT_MS)
        self.parts.pool.send_call(address, request, deadline, answered)

    def _apply_answer(
        self, answer: calls.CallAnswer, sent_ms: float
    ) -> _state_message.StateAnswer | None:
        if answer.code is not codes.ResultCode.ANSWERED:
            return None
        decoded = _state_message.decode_answer(answer.body)
        if isinstance(decoded, result.Err):
            _LOG.warning("state of peer rejected: {}", decoded.err_value)
            return None
        self.merge.apply_answer(decoded.ok_value, sent_ms)
        return decoded.ok_value

    def _add_sender(self, address: settings.Address) -> None:
        if address not in self.recent_senders:
            self.recent_senders = [
                *self.recent_senders[1 - _MAX_RECENT_SENDERS :],
                address,
            ]


def make_call_answer(body: bytes = b"") -> calls.CallAnswer:
    """Return the answer of a call that was carried out."""
    return calls.CallAnswer(
        outcome=codes.Outcome.ANSWERED,
        code=codes.ResultCode.ANSWERED,
        status=200,
        body=body,
    )
