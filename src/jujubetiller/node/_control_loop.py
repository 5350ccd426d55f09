"""Transport of control messages to and from neighbours."""

from collections.abc import Callable

import logbook

from jujubetiller import control, frames, membership, routing, streams
from jujubetiller.node import _control_frames, _node_parts

_LOG = logbook.Logger("jujubetiller.node")

JITTER = 0.1
"""Fraction by which the digest period varies at random, so that nodes that were
started at the same time do not send at the same time."""


class ControlLoop:
    """Sends and receives control messages and applies the resulting changes.

    Changes of instances are applied to the router, those of tickets to the
    limits of the guard.
    """

    def __init__(
        self,
        parts: _node_parts.NodeParts,
        exchange: control.ControlExchange,
    ) -> None:
        self.parts = parts
        self.exchange = exchange
        self.table = exchange.table
        self.applied_change_count = -1
        self.applied_ticket_number = -1
        self.messages_refused = 0
        self.stopped = False

    def start(self) -> None:
        """Send the first messages and schedule the periodic ones."""
        self.tick()

    def announce_draining(self) -> None:
        """Announce to the fleet that this node accepts no new calls."""
        self.exchange.announce_own_state(draining=True)
        self.apply()

    def stop(self) -> None:
        """Stop sending messages."""
        self.stopped = True

    def tick(self) -> None:
        """Send the periodic messages and schedule the next round."""
        if self.stopped:
            return
        period_ms = self.parts.settings.control.digest_ms
        jitter = 1.0 + JITTER * (2.0 * self.parts.random.random() - 1.0)
        self.parts.reactor.callLater(period_ms * jitter / 1000.0, self.tick)
        self.send(self.exchange.tick())
        self.apply()

    def receive(
        self,
        peer: streams.PeerIdentity,
        message: frames.Digest | frames.Pull | frames.Push,
        reply: Callable[[frames.Digest | frames.Pull | frames.Push], None],
    ) -> None:
        """Process a message from a peer and reply to it."""
        read = _control_frames.read_frame(message)
        if read is None:
            self.messages_refused += 1
            self.parts.metrics.count_bound("control_message")
            return
        for answer in self.exchange.receive(peer.instance, read):
            reply(_control_frames.make_frame(answer))
        self.apply()

    def apply(self) -> None:
        """Forward changed tickets and instance records and apply them here."""
        self.send(self.exchange.flush_updates())
        state = self.parts.state
        if not state.ready and self.exchange.join_state.is_ready:
            state.ready = True
            _LOG.info(
                "node is ready: ticket {} in force, {} instances known",
                self.parts.tickets.number,
                len(self.table.instances()),
            )
        if self.applied_change_count != self.table.change_count:
            self.applied_change_count = self.table.change_count
            self.parts.router.update_instances(
                make_routable(record) for record in self.table.instances()
            )
        self.parts.limits_in_force.apply()
        if self.applied_ticket_number != self.parts.tickets.number:
            self.applied_ticket_number = self.parts.tickets.number
            _LOG.info("ticket {} is in force", self.applied_ticket_number)

    def send(self, addressed: list[control.Addressed]) -> None:
        """Send control messages; later digests make up for lost ones."""
        for address, message in addressed:
            self.parts.pool.send_control(address, _control_frames.make_frame(message))

    def peer_connected(self, peer: streams.PeerIdentity) -> None:
        """Merge the identity of a connected peer into the membership table."""
        self.exchange.merge_peer(
            membership.InstanceRecord(
                instance=peer.instance,
                service=peer.service,
                zone=peer.zone,
                host=peer.host,
                peer_port=peer.peer_port,
                incarnation=peer.incarnation,
                boot_id=peer.boot_id,
                draining=peer.draining,
            )
        )
        self.apply()
        record = self.table.get(peer.instance)
        if record is not None:
            self.parts.router.mark_reachable(make_routable(record))

    def peer_lost(self, peer: streams.PeerIdentity, reason: str) -> None:
        """Log that the stream with a peer ended."""
        _LOG.info("stream with {} closed: {}", peer.instance, reason)

    def peer_draining(self, peer: streams.PeerIdentity) -> None:
        """Stop routing to a draining peer before its updated record arrives."""
        record = self.table.get(peer.instance)
        if record is not None and record.boot_id == peer.boot_id:
            self.parts.router.mark_leaving(make_routable(record))


def make_routable(record: membership.InstanceRecord) -> routing.RoutableInstance:
    """Return the router's view of ``record``.

    An instance that the published VM list marks as leaving gets no new calls even
    if its own record does not say so, because its node may be paused.
    """
    return routing.RoutableInstance(
        instance=record.instance,
        service=record.service,
        zone=record.zone,
        host=record.host,
        peer_port=record.peer_port,
        incarnation=record.incarnation,
        boot_id=record.boot_id,
        leaving=not record.accepts_new_work or record.listed_leaving,
    )
