"""Updates that have not been sent to the neighbours yet."""

from collections.abc import Iterable
from typing import Any

from jujubetiller import membership, tickets


class PendingUpdates:
    """Stores the names of changed objects and instances, with the peer that sent each.

    Only names are kept, so what changes twice is sent once.
    """

    def __init__(
        self, ticket_state: tickets.TicketState, table: membership.MembershipTable
    ) -> None:
        self.ticket_state = ticket_state
        self.table = table
        self.objects: dict[str, str | None] = {}
        self.instances: dict[str, str | None] = {}

    def note_tickets(
        self, entries: Iterable[tickets.ObjectEntry], source: str | None
    ) -> None:
        """Note entries that ``source`` brought into force; ``None``: this node."""
        self.objects.update((entry.name, source) for entry in entries)

    def note_records(
        self, records: Iterable[membership.InstanceRecord], source: str | None
    ) -> None:
        """Note records that ``source`` changed; ``None``: this node."""
        self.instances.update((record.instance, source) for record in records)

    def is_empty(self) -> bool:
        """Return whether no update is pending."""
        return not self.objects and not self.instances

    def clear(self) -> None:
        """Remove all updates after they were sent."""
        self.objects.clear()
        self.instances.clear()

    def for_neighbour(self, neighbour: str) -> tuple[list[Any], list[Any]]:
        """Return the wire entries and records that ``neighbour`` did not send."""
        entries = [
            self.ticket_state.entries[name].as_wire()
            for name, source in self.objects.items()
            if source != neighbour
        ]
        records = [
            self.table.records[name].as_wire()
            for name, source in self.instances.items()
            if source != neighbour and self.table.get(name) is not None
        ]
        return entries, records
