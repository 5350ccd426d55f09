"""Dissemination of tickets and membership records."""

import collections
import random
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from jujubetiller import clock, membership, settings, tickets
from jujubetiller.control import (
    _join_state,
    _messages,
    _own_record_announcer,
    _peer_failure_detector,
    _pending_updates,
    _pull_budget,
)

SEEDS_PER_TICK = 2

Recipient = tuple[str, settings.Address]
"""The name of an instance, empty for a seed, and its address."""

Addressed = tuple[settings.Address, _messages.Message]


class ControlExchange:
    """Decides which control messages to send to neighbours; the caller sends them.

    After each call that can change tickets or records, the caller sends what
    ``flush_updates`` returns, and it calls ``tick`` every ``digest_ms``. The
    messages to one peer must arrive in order or not at all, as on one TCP stream.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        random_source: random.Random,
        control_settings: settings.ControlSettings,
        ticket_state: tickets.TicketState,
        table: membership.MembershipTable,
        own_record: membership.InstanceRecord,
        freshness: membership.PlatformFreshness,
    ) -> None:
        self.clock = time_source
        self.random = random_source
        self.settings = control_settings
        self.ticket_state = ticket_state
        self.table = table
        self.freshness = freshness
        self.own_zone = own_record.zone
        self.announcer = _own_record_announcer.OwnRecordAnnouncer(
            time_source, control_settings, table, own_record
        )
        self.join_state = _join_state.JoinState(time_source, control_settings)
        self.failure_detector = _peer_failure_detector.PeerFailureDetector(
            time_source, control_settings
        )
        self.budget = _pull_budget.PullBudget(time_source, control_settings)
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.sent_messages: collections.Counter[str] = collections.Counter()
        self.pending_updates = _pending_updates.PendingUpdates(ticket_state, table)
        self._neighbours: tuple[membership.InstanceRecord, ...] = ()
        self._neighbours_state = (-1, -1)
        self._handlers: dict[
            type, Callable[[str, Any], Iterator[_messages.Message]]
        ] = {
            _messages.Digest: self._receive_digest,
            _messages.Pull: self._receive_pull,
            _messages.Push: self._receive_push,
        }
        self.pending_updates.note_records(self.announcer.announce(), None)

    def merge_ticket(self, ticket: tickets.Ticket) -> tickets.MergeResult:
        """Merge a ticket that this node read from the platform."""
        merged = self.ticket_state.merge(ticket)
        self.pending_updates.note_tickets(merged.changed, None)
        return merged

    def merge_published_list(
        self, zone: str, records: Iterable[membership.InstanceRecord], version: int
    ) -> None:
        """Merge a list of instances that this node read from the platform."""
        changed = self.table.merge_published_list(zone, records, version)
        self.pending_updates.note_records(changed, None)

    def merge_peer(self, record: membership.InstanceRecord) -> None:
        """Merge the record that a peer sent when a stream to it was opened."""
        merged = self.table.merge(record)
        if merged is not None:
            self.pending_updates.note_records([merged], record.instance)

    def announce_own_state(self, draining: bool = False, leaving: bool = False) -> None:
        """Announce that this process drains or leaves; neither can be revoked."""
        self.pending_updates.note_records(
            self.announcer.announce(draining, leaving), None
        )

    def neighbours(self) -> tuple[membership.InstanceRecord, ...]:
        """Return the instances that receive digests and updates."""
        state = (self.table.topology_change_count, self.failure_detector.change_count)
        if state != self._neighbours_state:
            self._neighbours_state = state
            self._neighbours = membership.choose_neighbours(
                self.announcer.record,
                self.table,
                self.failure_detector.suspect_since_ms,
            )
        return self._neighbours

    def partition_size(self) -> int:
        """Return how many nodes of the own zone appear reachable, own included.

        Only neighbours are probed. If none is suspected, the whole zone counts as
        reachable; otherwise only nodes that sent a message recently count.
        """
        in_zone = {record.instance for record in self.table.instances_in(self.own_zone)}
        if in_zone.isdisjoint(self.failure_detector.suspect_since_ms):
            return len(in_zone)
        return 1 + len(
            in_zone.intersection(self.failure_detector.recently_active_peers())
        )

    def tick(self) -> list[Addressed]:
        """Return the periodic messages: digests, or pulls while joining."""
        self.table.expire()
        self.failure_detector.update()
        self.pending_updates.note_records(self.announcer.reannounce_if_needed(), None)
        self._update_join()
        if not self.join_state.is_ready:
            if self.neighbours():
                return self._make_join_pulls()
            return self._address(self._choose_recipients(), self._make_pull())
        recipients = self._choose_recipients() + self._choose_probe()
        return self._address(recipients, self._make_digest())

    def flush_updates(self) -> list[Addressed]:
        """Return the messages that send pending updates to the neighbours at once.

        While joining, this includes pulls from neighbours that were just discovered.
        """
        addressed = [] if self.join_state.is_ready else self._make_join_pulls()
        if self.pending_updates.is_empty():
            return addressed
        shared: list[tuple[_messages.Push, int]] | None = None
        for neighbour in self.neighbours():
            entries, records = self.pending_updates.for_neighbour(neighbour.instance)
            is_all = len(entries) == len(self.pending_updates.objects) and len(
                records
            ) == len(self.pending_updates.instances)
            if not is_all or shared is None:
                pushes = list(
                    _messages.split_push(entries, records, _messages.MAX_MESSAGE_BYTES)
                )
                shared = pushes if is_all else shared
            else:
                pushes = shared
            addressed += self._address_updates(neighbour, pushes)
        self.pending_updates.clear()
        return addressed

    def receive(self, peer: str, message: _messages.Message) -> list[_messages.Message]:
        """Return the replies to a message of the instance ``peer``."""
        self.failure_detector.note_received(peer)
        handle = self._handlers[type(message)]
        replies = [self._count(reply) for reply in handle(peer, message)]
        self._update_join()
        return replies

    def _receive_digest(
        self, peer: str, digest: _messages.Digest
    ) -> Iterator[_messages.Message]:
        self._record_platform_age(peer, digest.platform_age_ms)
        tickets_differ = digest.ticket_digest != self.ticket_state.digest()
        records_differ = digest.membership_digest != self.table.digest()
        if not tickets_differ and not records_differ:
            self.join_state.note_compared(peer)
        elif self.budget.may_pull(peer):
            yield _messages.Pull(
                self.ticket_state.bucket_index() if tickets_differ else None,
                self.table.index() if records_differ else None,
            )
        if (
            self.join_state.is_ready
            and not self._is_neighbour(peer)
            and self.budget.may_answer(peer)
        ):
            # Neighbours receive digests anyway; to other peers this digest confirms
            # that the node is reachable.
            yield self._make_digest()

    def _receive_pull(
        self, peer: str, pull: _messages.Pull
    ) -> Iterator[_messages.Message]:
        entries: list[Any] = []
        records: list[Any] = []
        if pull.ticket_index is not None:
            entries = self.ticket_state.missing_in_buckets(pull.ticket_index)
        if pull.membership_index is not None:
            records = self.table.missing(pull.membership_index)
        for push, size in _messages.split_push(
            entries, records, _messages.MAX_MESSAGE_BYTES
        ):
            if not self.budget.may_reply(size):
                return
            yield push
        if self.join_state.is_ready:
            yield _messages.Push([], [])
        if self.budget.may_pull(peer):
            yield _messages.Pull(
                None if pull.ticket_index is None else self.ticket_state.bucket_index(),
                None if pull.membership_index is None else self.table.index(),
            )

    def _receive_push(
        self, peer: str, push: _messages.Push
    ) -> Iterator[_messages.Message]:
        if push.is_end:
            self.join_state.note_compared(peer)
        else:
            if not self.join_state.is_ready:
                self.join_state.note_progress(peer)
            self.pending_updates.note_tickets(
                self.ticket_state.load(push.tickets).changed, peer
            )
            self.pending_updates.note_records(self.table.load(push.records), peer)
            self.pending_updates.note_records(
                self.announcer.reannounce_if_needed(), None
            )
        yield from ()

    def _record_platform_age(self, peer: str, age_ms: float) -> None:
        record = self.table.get(peer)
        if record is not None and record.zone == self.own_zone:
            self.freshness.record_peer_age(age_ms)
        else:
            self.freshness.record_other_zone_age(age_ms)

    def _is_neighbour(self, peer: str) -> bool:
        return any(item.instance == peer for item in self.neighbours())

    def _update_join(self) -> None:
        if not self.join_state.is_ready:
            self.join_state.update([item.instance for item in self.neighbours()])

    def _choose_recipients(self) -> list[Recipient]:
        """Return the neighbours, or some seeds while no neighbour is known."""
        if neighbours := self.neighbours():
            return [(item.instance, item.address) for item in neighbours]
        seeds = self.settings.seeds
        chosen = self.random.sample(seeds, min(SEEDS_PER_TICK, len(seeds)))
        return [("", address) for address in chosen]

    def _make_join_pulls(self) -> list[Addressed]:
        """Return the pulls that are due while this node is not ready."""
        by_name = {item.instance: item.address for item in self.neighbours()}
        sources = self.join_state.choose_pull_sources(by_name)
        if not sources:
            return []
        return self._address(
            [(name, by_name[name]) for name in sources], self._make_pull()
        )

    def _make_pull(self) -> _messages.Pull:
        return _messages.Pull(self.ticket_state.bucket_index(), self.table.index())

    def _make_digest(self) -> _messages.Digest:
        return _messages.Digest(
            self.ticket_state.digest(),
            self.table.digest(),
            self.freshness.zone_age_ms(),
            self.ticket_state.number,
        )

    def _choose_probe(self) -> list[Recipient]:
        """Return one random suspect, so that the end of a partition is detected."""
        suspects = sorted(self.failure_detector.suspect_since_ms)
        if not suspects:
            return []
        record = self.table.get(self.random.choice(suspects))
        return [] if record is None else [(record.instance, record.address)]

    def _address(
        self, recipients: list[Recipient], message: _messages.Message
    ) -> list[Addressed]:
        if not recipients:
            return []
        size = _messages.measure_message(message)
        for instance, _ in recipients:
            if instance:
                self.failure_detector.note_sent(instance)
            self._count(message, size)
        return [(address, message) for _, address in recipients]

    def _address_updates(
        self,
        neighbour: membership.InstanceRecord,
        pushes: list[tuple[_messages.Push, int]],
    ) -> list[Addressed]:
        address = neighbour.address
        if sum(size for _, size in pushes) <= _messages.EAGER_PUSH_BYTES:
            return [(address, self._count(push, size)) for push, size in pushes]
        if not self.join_state.is_ready:
            return []
        return self._address([(neighbour.instance, address)], self._make_digest())

    def _count(
        self, message: _messages.Message, size: int | None = None
    ) -> _messages.Message:
        name = type(message).__name__
        self.sent_messages[name] += 1
        self.sent_bytes[name] += (
            _messages.measure_message(message) if size is None else size
        )
        return message
