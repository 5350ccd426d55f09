"""Exchange of the published state between nodes."""

import bisect
from collections.abc import Callable

import logbook
import result

from jujubetiller import calls, codes, published, settings
from jujubetiller.mesh import (
    _mesh_parts,
    _start_comparison,
    _state_message,
    _store_stability,
)

_LOG = logbook.Logger("jujubetiller.mesh")

STATE_SERVICE = ""
"""Calls for this service are state requests; no real service has an empty name."""

ANSWER_TIMEOUT_MS = 1_000.0

_MAX_RECENT_SENDERS = 8
"""Number of latest requesters kept; a node without known instances requests from
them."""


def _do_nothing() -> None:
    """Do nothing; the default callback."""


class StateExchange:
    """Periodically requests missing changes from two peers.

    One peer is the next in the ring of addresses and the other is random, so that
    a change reaches every node within a few rounds. A request contains the revision
    of its sender; a node with a lower one sends a request back at once, which brings
    a restarted node up to date even if the store refuses its reads.
    """

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        state: published.PublishedState,
        store_stability: _store_stability.StoreStability,
        own_address: Callable[[], settings.Address],
    ) -> None:
        self.parts = parts
        self.state = state
        self.store_stability = store_stability
        self.own_address = own_address
        self.recent_senders: list[settings.Address] = []
        self.pending: dict[settings.Address, list[Callable[[], None]]] = {}
        """Peers that have not answered yet, with what is called when they do."""

        self.start_comparison = _start_comparison.StartComparison(
            parts, self.request_changes
        )
        self.is_stopped = False

    def start(self) -> None:
        """Start the periodic requests."""
        self._schedule()

    def stop(self) -> None:
        """Send no more requests."""
        self.is_stopped = True

    def answer(self, request: calls.CallRequest) -> calls.CallAnswer:
        """Return the answer to a peer's state request."""
        decoded = _state_message.decode_request(request.body)
        if isinstance(decoded, result.Err):
            _LOG.warning("state request rejected: {}", decoded.err_value)
            return calls.make_refusal(codes.ResultCode.BAD_FRAME)
        state_request = decoded.ok_value
        self._add_sender(state_request.sender)
        if state_request.revision > self.state.revision:
            self.parts.reactor.callLater(0, self.request_changes, state_request.sender)
        body = _state_message.StateAnswer(
            self.state.changes_since(state_request.revision),
            self.store_stability.is_own_stable(),
            self._find_retained_for(state_request),
        ).encode()
        return calls.CallAnswer(
            outcome=codes.Outcome.ANSWERED,
            code=codes.ResultCode.ANSWERED,
            status=200,
            body=body,
        )

    def _find_retained_for(
        self, state_request: _state_message.StateRequest
    ) -> tuple[published.RetainedItem, ...]:
        """Return what this node may know better than the store and the sender."""
        if state_request.revision.epoch > self.state.revision.epoch:
            return self.state.list_values_to_retain()
        retained = self.state.retained
        if retained.digest() == state_request.retained_digest:
            return ()
        return retained.all()

    def request_changes(
        self, address: settings.Address, ended: Callable[[], None] = _do_nothing
    ) -> None:
        """Request the changes that this node lacks from one peer.

        ``ended`` is called once the answer is applied, or when there is none.
        """
        if address == self.own_address():
            ended()
            return
        callbacks = self.pending.setdefault(address, [])
        callbacks.append(ended)
        if len(callbacks) > 1:
            return
        state_request = _state_message.StateRequest(
            self.state.revision, self.own_address(), self.state.retained.digest()
        )
        request = calls.CallRequest(
            service=STATE_SERVICE,
            method="GET",
            path="/",
            kind="",
            priority_class=0,
            rank=0,
            idempotent=True,
            deadline_left_ms=ANSWER_TIMEOUT_MS,
            body=state_request.encode(),
        )
        deadline = calls.Deadline.after(self.parts.clock, ANSWER_TIMEOUT_MS)

        def answered(answer: calls.CallAnswer) -> None:
            callbacks = self.pending.pop(address, ())
            self._apply_answer(answer)
            for callback in callbacks:
                callback()

        self.parts.pool.send_call(address, request, deadline, answered)

    def _apply_answer(self, answer: calls.CallAnswer) -> None:
        if answer.code is not codes.ResultCode.ANSWERED:
            return
        decoded = _state_message.decode_answer(answer.body)
        if isinstance(decoded, result.Err):
            _LOG.warning("state of peer rejected: {}", decoded.err_value)
            return
        changes = decoded.ok_value.changes
        is_newer = changes.revision >= self.state.revision
        if is_newer and self.state.can_apply(changes):
            self.state.apply(changes)
        self.state.apply_retained(decoded.ok_value.retained)
        if decoded.ok_value.is_settled and changes.revision >= self.state.revision:
            self.store_stability.record_confirmation()

    def _schedule(self) -> None:
        if self.is_stopped:
            return
        pause_ms = self.parts.settings.exchange_ms * (0.8 + 0.4 * self._draw())
        self.parts.reactor.callLater(pause_ms / 1000.0, self._request_round)

    def _request_round(self) -> None:
        if self.is_stopped:
            return
        self._schedule()
        peers = self.parts.directory.peers() or self.recent_senders
        if not peers:
            return
        drawn = peers[int(self._draw() * len(peers))]
        for address in {self._next_in_ring(peers), drawn}:
            self.request_changes(address)

    def _next_in_ring(self, peers: list[settings.Address]) -> settings.Address:
        hosts = sorted(peer.host for peer in peers)
        index = bisect.bisect(hosts, self.own_address().host) % len(hosts)
        return settings.Address(hosts[index], peers[0].port)

    def _add_sender(self, address: settings.Address) -> None:
        if address not in self.recent_senders:
            self.recent_senders = [
                *self.recent_senders[1 - _MAX_RECENT_SENDERS :],
                address,
            ]

    def _draw(self) -> float:
        return self.parts.random.random()
