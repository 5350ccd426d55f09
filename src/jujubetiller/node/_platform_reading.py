"""Reading of tickets and VM lists from the platform by elected nodes."""

from jujubetiller import control, membership, platform_client, tickets
from jujubetiller.node import _control_loop, _node_parts

CHECK_MS = 250.0
"""Interval at which a node checks whether it is elected as a reader."""


class PlatformReading:
    """Watches the platform while this node is one of its zone's readers."""

    def __init__(
        self,
        parts: _node_parts.NodeParts,
        exchange: control.ControlExchange,
        control_loop: _control_loop.ControlLoop,
    ) -> None:
        self.parts = parts
        self.exchange = exchange
        self.control_loop = control_loop
        own = parts.settings
        self.election = membership.ReaderElection(
            parts.clock,
            parts.random,
            own.control,
            own.instance,
            own.zone,
            parts.freshness,
        )
        self.client = platform_client.PlatformClient(
            parts.reactor,
            parts.clock,
            own.platform,
            parts.random,
            on_fresh=parts.freshness.record_read,
        )
        wait_ms = float(own.platform.watch_wait_ms)
        self.ticket_reader = platform_client.TicketReader(
            self.client,
            parts.tickets,
            self.receive_ticket,
            lambda: self.election.index_period_ms(wait_ms),
            self.election.fetch_delay_ms,
        )
        self.vm_list_reader = platform_client.VmListReader(
            self.client,
            own.zone,
            self.known_zones,
            self.receive_list,
            lambda: self.election.list_period_ms(wait_ms),
        )
        self.is_reader = False
        self.stopped = False

    def start(self) -> None:
        """Start the periodic check whether this node is a reader."""
        self.check()

    def stop(self) -> None:
        """Stop reading for good and close the platform client."""
        self.stopped = True
        self.set_reader(False)
        self.client.close()

    def check(self) -> None:
        """Start or stop reading according to the election."""
        if self.stopped:
            return
        # Scheduled first, so that an exception below does not end the checks.
        self.parts.reactor.callLater(CHECK_MS / 1000.0, self.check)
        table = self.exchange.table
        self.election.update_reachability(
            self.exchange.partition_size(),
            bool(self.exchange.failure_detector.recently_active_peers()),
            len(table.instances()),
        )
        zone_instances = table.instances_in(self.parts.settings.zone)
        self.set_reader(self.election.is_reader(zone_instances))

    def set_reader(self, is_reader: bool) -> None:
        """Start or stop the readers."""
        if is_reader == self.is_reader:
            return
        self.is_reader = is_reader
        for reader in (self.ticket_reader, self.vm_list_reader):
            if is_reader:
                reader.start()
            else:
                reader.stop()

    def known_zones(self) -> set[str]:
        """Return the zones with at least one known instance."""
        return set(self.exchange.table.by_zone)

    def receive_ticket(self, ticket: tickets.Ticket) -> None:
        """Apply a ticket and forward it to neighbours."""
        self.exchange.merge_ticket(ticket)
        self.control_loop.apply()

    def receive_list(
        self, zone: str, records: list[membership.InstanceRecord], version: int
    ) -> None:
        """Merge a published VM list into the membership table and forward it."""
        self.exchange.merge_published_list(zone, records, version)
        self.control_loop.apply()
