"""Reading of the store by some of the nodes, for all of them."""

from collections.abc import Callable
from typing import Any

import logbook
import result

from jujubetiller import calls, published, readers, settings
from jujubetiller.mesh import (
    _held_requests,
    _listed_hosts,
    _mesh_parts,
    _state_exchange,
    _state_message,
    _state_pusher,
)

_LOG = logbook.Logger("jujubetiller.mesh")

PEEK_PAUSE_MS = 500.0
"""Pause before a node that has found no other one of its zone looks again."""

MAX_PEEKS = 6
"""A node that has found none after so many looks reads the store itself."""

SILENT_ROUNDS = 3.0
"""A reader asks nodes of its zone that have not asked it for this many rounds."""

MAX_SILENT_ASKED = 2
"""Nodes of these that are asked in one round."""


class StoreReading:
    """Starts and stops the node's reads of the store, and asks readers for changes.

    A node that starts looks for other nodes in a stale page of the store, from which
    it uses nothing but their addresses, and asks a reader of its zone. In each round it
    asks one again. A reader also asks one of another zone, and nodes of its own zone
    that are silent: they may have started while the store turned them away.
    """

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        source: published.ItemSource,
        exchange: _state_exchange.StateExchange,
    ) -> None:
        self.parts = parts
        self.source = source
        self.exchange = exchange
        node_settings = parts.settings
        self.choice = readers.ReaderChoice(
            parts.clock,
            parts.random,
            node_settings.zone,
            node_settings.listen.peer.host,
            prefers_first_reader=node_settings.store.proof_interval_ms is not None,
        )
        self.pacing = readers.QuestionPacing(
            parts.random, node_settings.store.proof_interval_ms
        )
        self.next_round: Any = None
        self.pusher = _state_pusher.StatePusher(parts, exchange, self.choice)
        self.held = _held_requests.HeldRequests(parts.reactor, exchange.answer)
        self.knows_nodes = False
        """Whether the node knows others of its zone, or has found none for a while."""

        self.peeks = 0
        self.has_failed = False
        """Whether the last read failed."""

        self.is_reading = False
        self.is_stopped = False
        self.heard_at_ms: dict[str, float] = {}
        """When each node of the zone last sent a state request."""

        self.other_zones: dict[str, set[str]] = {}
        source.on_read_end = self._note_read

    def start(self) -> None:
        """Look for other nodes, and start the rounds."""
        self._schedule_round()
        self._peek()

    def stop(self) -> None:
        """Read no more, and ask no other node."""
        self.is_stopped = True
        self.source.stop()
        self.held.release()

    def answer(
        self,
        request: calls.CallRequest,
        reply: Callable[[calls.CallAnswer], None],
    ) -> None:
        """Answer a state request; one to a reader waits for the first read."""
        received = self.exchange.receive(request)
        if isinstance(received, result.Err):
            reply(received.err_value)
            return
        state_request = received.ok_value
        if state_request.sender.host in self.heard_at_ms:
            self.heard_at_ms[state_request.sender.host] = self.parts.clock.now_ms()
        if state_request.asks_reader and not self.is_stopped:
            self.choice.record_asked()
            self._update()
            if self.is_reading and not (self.has_failed or self.source.is_current()):
                self.held.add(state_request, reply)
                return
        reply(self.exchange.answer(state_request))

    def apply_instances(self) -> None:
        """Set the nodes that may read from the list of instances."""
        self._set_nodes(self.parts.directory.hosts_by_zone(with_leaving=False))

    def confirm_removals(self) -> None:
        """Pass on that removals are final, if this node has found that out."""
        if self.is_reading and self.exchange.merge.store_stability.is_own_stable():
            self.pusher.note_confirmation()

    def handle_lost_peer(self, host: str) -> None:
        """Ask a reader whose stream was lost at once, to find another if it is gone."""
        is_reader = host != self.choice.own and host in self.choice.readers()
        if is_reader and not self.is_stopped:
            self._ask(host)

    def _peek(self) -> None:
        if self.knows_nodes or self.is_stopped:
            return
        self.peeks += 1
        self.source.peek(self._apply_peek)

    def _apply_peek(self, items: tuple[published.PublishedItem, ...]) -> None:
        if self.knows_nodes or self.is_stopped:
            return
        zones = _listed_hosts.find_hosts(self.parts.directory.decoder, items)
        if self.choice.zone in zones:
            self._set_nodes(zones)
            self._ask_round()
        elif self.peeks < MAX_PEEKS:
            self.parts.reactor.callLater(PEEK_PAUSE_MS / 1000.0, self._peek)
        else:
            self._set_nodes({**zones, self.choice.zone: {self.choice.own}})

    def _set_nodes(self, zones: dict[str, set[str]]) -> None:
        """Set the hosts of the nodes by zone.

        A node whose instance is not listed yet reads only if it is asked to.
        """
        own_zone = zones.pop(self.choice.zone, set())
        if not own_zone and not zones:
            return
        self.choice.set_nodes(own_zone or {self.choice.own})
        now_ms = self.parts.clock.now_ms()
        heard_at_ms = self.heard_at_ms
        self.heard_at_ms = {
            host: heard_at_ms.get(host, now_ms) for host in self.choice.nodes
        }
        self.other_zones = zones
        self.knows_nodes = True
        self._update()

    def _update(self) -> None:
        """Start or stop reading as the choice of readers says."""
        self.source.set_primary(self.choice.is_primary())
        must_read = self.knows_nodes and self.choice.is_reader()
        if self.is_stopped or must_read == self.is_reading:
            return
        self.is_reading = must_read
        self.has_failed = False
        _LOG.info(
            "reads the store" if must_read else "leaves the store to other readers",
            extra={"readers": self.choice.readers(), "nodes": len(self.choice.nodes)},
        )
        if must_read:
            self.source.start()
        else:
            self.source.stop()
            self.held.release()

    def _note_read(self) -> None:
        """Handle the end of a read of the store."""
        self.has_failed = not self.source.is_current()
        self.held.release()
        if self.has_failed:
            self.choice.hand_back()
            self._update()
        else:
            self.pusher.note_read()

    def _schedule_round(self) -> None:
        longest_ms = float(self.parts.settings.exchange_ms)
        age_ms = self.parts.state_age.age_ms()
        pause_ms = self.pacing.draw_pause_ms(longest_ms, age_ms)
        self.next_round = self.parts.reactor.callLater(
            pause_ms / 1000.0, self._run_round
        )

    def _run_round(self) -> None:
        if self.is_stopped:
            return
        self._schedule_round()
        self._update()
        if self.knows_nodes:
            self._ask_round()
        else:
            self._ask_recent_senders()
        if self.is_reading:
            self._ask_other_zone()
            self._ask_silent_nodes()

    def _ask_round(self) -> None:
        for host in self.choice.start_round():
            self._ask(host)

    def _ask(self, host: str) -> None:
        def ended(answer: _state_message.StateAnswer | None) -> None:
            self._note_answer(host, answer)

        self.exchange.request_changes(self._address(host), ended, asks_reader=True)

    def _note_answer(
        self, host: str, answer: _state_message.StateAnswer | None
    ) -> None:
        if answer is not None and answer.is_reader:
            self.choice.record_reader(host)
            self._advance_round()
        else:
            self._pass_over(host, has_answered=answer is not None)
        self._update()

    def _advance_round(self) -> None:
        """Start the next round once the reader should have its next proof."""
        pause_ms = self.pacing.draw_answered_pause_ms(self.parts.state_age.age_ms())
        if pause_ms is None or self.is_stopped or self.next_round is None:
            return
        left_s = self.next_round.getTime() - self.parts.reactor.seconds()
        if pause_ms / 1000.0 < left_s:
            self.next_round.reset(pause_ms / 1000.0)

    def _pass_over(self, host: str, has_answered: bool) -> None:
        """Ask the next node in place of one that does not read."""
        if host not in self.choice.probed_at_ms:
            _LOG.info(
                "reader passed over", extra={"host": host, "answers": has_answered}
            )
        self.choice.record_failure(host, has_answered)
        following = self.choice.next_to_ask()
        if following is not None:
            self._ask(following)
            return
        delay_ms = self.choice.plan_reading_alone()
        if delay_ms is not None:
            self.parts.reactor.callLater(delay_ms / 1000.0, self._update)

    def _ask_recent_senders(self) -> None:
        """Ask the nodes that have asked this one, as it knows no others."""
        senders = self.exchange.recent_senders
        if senders:
            self.exchange.request_changes(self.parts.random.choice(senders))

    def _ask_other_zone(self) -> None:
        """Ask a reader of another zone, in turn: a message may have been lost.

        The readers of two zones ask each other in pairs, which needs few streams.
        """
        if not self.other_zones:
            return
        zones = sorted(self.other_zones)
        zone = zones[self.choice.round % len(zones)]
        hosts = readers.order_by_rendezvous(zone, self.other_zones[zone])
        ranks = self.choice.readers()
        own = self.choice.own
        position = ranks.index(own) if own in ranks else 0
        host = hosts[min(position, len(hosts) - 1)]
        self.exchange.request_changes(self._address(host))

    def _ask_silent_nodes(self) -> None:
        now_ms = self.parts.clock.now_ms()
        oldest_ms = now_ms - SILENT_ROUNDS * self.parts.settings.exchange_ms
        silent = [
            host
            for host, at_ms in self.heard_at_ms.items()
            if host != self.choice.own and at_ms < oldest_ms
        ]
        if len(silent) > MAX_SILENT_ASKED:
            silent = self.parts.random.sample(silent, MAX_SILENT_ASKED)
        for host in silent:
            self.heard_at_ms[host] = now_ms
            self.exchange.request_changes(self._address(host))

    def _address(self, host: str) -> settings.Address:
        return settings.Address(host, self.parts.directory.peer_port)
