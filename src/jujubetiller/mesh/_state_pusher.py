"""Passing changes on to the nodes of a zone and to other zones."""

import functools
from collections.abc import Callable, Sequence
from typing import Any

import logbook
import result

from jujubetiller import calls, codes, published, readers, settings
from jujubetiller.mesh import (
    _mesh_parts,
    _state_exchange,
    _state_message,
    _state_push,
)

_LOG = logbook.Logger("jujubetiller.mesh")

PATH = "/push"
"""Path of the calls that pass changes on."""

FAN_OUT = 6
"""Nodes that one node sends a change to; each passes it on to a part of the rest."""

PUSH_INTERVAL_MS = 400.0
"""Shortest time between two changes that are passed on in a zone, as changes often come
in series."""

POSITION_DELAY_MS = 100.0
"""A reader waits this long for each one before it in the order of its zone, which
mostly passes the same change on."""

MAX_REPEATED_ZONE_SENDS = 3
"""Nodes of another zone that are tried, until one takes the changes."""


class StatePusher:
    """Passes on what a node has read from the store, within and between zones.

    In a zone, changes spread along a tree: each node gets the changes with the list of
    the nodes that it passes them on to. One node of each other zone gets them too, and
    passes them on there. A node that misses a change requests it in the next round of
    requests to readers.
    """

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        exchange: _state_exchange.StateExchange,
        choice: readers.ReaderChoice,
    ) -> None:
        self.parts = parts
        self.exchange = exchange
        self.merge = exchange.merge
        self.choice = choice
        self.pushed = published.Revision()
        """The revision up to which changes have been passed on in the own zone."""

        self.pushed_at_ms = parts.clock.now_ms() - PUSH_INTERVAL_MS
        self.has_confirmation = False
        """Whether removals have become final that were passed on before."""

        self.tells_other_zones = False
        self.timer: Any = None
        self.failed = 0
        """Messages that a node did not take."""

    def note_read(self) -> None:
        """Pass on what the node has read from the store, unless another one does."""
        if not self._has_news():
            return
        self.tells_other_zones = True
        ranks = self.choice.readers()
        own = self.choice.own
        position = ranks.index(own) if own in ranks else len(ranks)
        self._schedule(POSITION_DELAY_MS * position)

    def note_confirmation(self) -> None:
        """Pass on that removals are final which were passed on before."""
        self.has_confirmation = True
        self._schedule(0.0)

    def receive(self, request: calls.CallRequest) -> calls.CallAnswer:
        """Apply the changes in a message of a peer, and pass them on."""
        decoded = _state_push.decode_push(request.body)
        if isinstance(decoded, result.Err):
            _LOG.warning("state push rejected: {}", decoded.err_value)
            return calls.make_refusal(codes.ResultCode.BAD_FRAME)
        push = decoded.ok_value
        answer = _state_message.decode_answer(push.answer)
        if isinstance(answer, result.Err):
            _LOG.warning("state push rejected: {}", answer.err_value)
            return calls.make_refusal(codes.ResultCode.BAD_FRAME)
        self._send_parts(push, push.forward_to)
        self._apply(push, answer.ok_value)
        return _state_exchange.make_call_answer()

    def _apply(
        self, push: _state_push.StatePush, answer: _state_message.StateAnswer
    ) -> None:
        state = self.merge.state
        has_gap = push.base > state.revision or not state.can_apply(answer.changes)
        start_in_zone = functools.partial(self._start_in_zone, push)
        if has_gap and answer.changes.revision > state.revision:
            self.exchange.request_changes(push.sender, start_in_zone)
        else:
            self.merge.apply(answer)
            start_in_zone(answer)
        if not push.starts_in_zone:
            self.pushed = max(self.pushed, answer.changes.revision)
            self.pushed_at_ms = self.parts.clock.now_ms()

    def _start_in_zone(self, push: _state_push.StatePush, answer: object) -> None:
        """Pass on in the own zone what has arrived from another one."""
        if push.starts_in_zone and self._has_news():
            self._schedule(0.0)

    def _has_news(self) -> bool:
        return self.has_confirmation or self.merge.state.revision > self.pushed

    def _schedule(self, delay_ms: float) -> None:
        if self.timer is not None:
            return
        next_ms = self.pushed_at_ms + PUSH_INTERVAL_MS
        delay_ms = max(delay_ms, next_ms - self.parts.clock.now_ms())
        self.timer = self.parts.reactor.callLater(delay_ms / 1000.0, self._push)

    def _push(self) -> None:
        self.timer = None
        if not self._has_news():
            self.tells_other_zones = False
            return
        push = self._make_push()
        self.pushed = self.merge.state.revision
        self.pushed_at_ms = self.parts.clock.now_ms()
        self.has_confirmation = False
        zones = self.parts.directory.hosts_by_zone(with_leaving=True)
        own_zone = zones.pop(self.choice.zone, set()) - {self.choice.own}
        self._send_parts(
            push, self.parts.random.sample(sorted(own_zone), len(own_zone))
        )
        if self.tells_other_zones:
            self.tells_other_zones = False
            for zone, hosts in zones.items():
                self._send_to_zone(push, readers.order_by_rendezvous(zone, hosts))

    def _make_push(self) -> _state_push.StatePush:
        """Return what is to be passed on; a listing is only announced.

        Each node requests of a listing what it lacks.
        """
        state = self.merge.state
        base = self.pushed
        changes = state.changes_since(base, is_exact=True)
        if changes.is_listing:
            base = state.revision
            changes = published.Changes(base, (), False)
        body = self.merge.make_message(changes).encode()
        return _state_push.StatePush(self.exchange.own_address(), base, body)

    def _send_parts(self, push: _state_push.StatePush, hosts: Sequence[str]) -> None:
        """Send ``push`` to some of ``hosts``, each with a part of the rest."""
        for start in range(min(FAN_OUT, len(hosts))):
            self._send_part(push, hosts[start::FAN_OUT])

    def _send_part(self, push: _state_push.StatePush, hosts: Sequence[str]) -> None:
        first, rest = hosts[0], tuple(hosts[1:])

        def answered(answer: calls.CallAnswer) -> None:
            if answer.code is not codes.ResultCode.ANSWERED:
                self.failed += 1
                self._send_parts(push, rest)

        self._send(push, first, rest, False, answered)

    def _send_to_zone(
        self,
        push: _state_push.StatePush,
        hosts: Sequence[str],
        tried: int = 0,
    ) -> None:
        """Send ``push`` to one node of another zone, which passes it on there."""
        if tried >= min(len(hosts), MAX_REPEATED_ZONE_SENDS):
            return

        def answered(answer: calls.CallAnswer) -> None:
            if answer.code is not codes.ResultCode.ANSWERED:
                self.failed += 1
                self._send_to_zone(push, hosts, tried + 1)

        self._send(push, hosts[tried], (), True, answered)

    def _send(
        self,
        push: _state_push.StatePush,
        host: str,
        forward_to: tuple[str, ...],
        starts_in_zone: bool,
        answered: Callable[[calls.CallAnswer], None],
    ) -> None:
        message = _state_push.StatePush(
            push.sender, push.base, push.answer, forward_to, starts_in_zone
        )
        address = settings.Address(host, self.parts.directory.peer_port)
        self.exchange.send(address, PATH, message.encode(), answered)
