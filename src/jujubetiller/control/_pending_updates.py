"""New facts that neighbours have not been told yet."""

from collections.abc import Iterable
from typing import Any

from jujubetiller import membership, tickets


class PendingUpdates:
    """Remembers changed objects and instances, and which peer told each of them.

    Only names are kept, so a fact that changes twice is sent once.
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
        """Note entries that came into force by ``source``; ``None``: this node."""
        self.objects.update((entry.name, source) for entry in entries)

    def note_records(
        self, records: Iterable[membership.InstanceRecord], source: str | None
    ) -> None:
        """Note records that changed by ``source``; ``None``: this node."""
        self.instances.update((record.instance, source) for record in records)

    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not self.objects and not self.instances

    def clear(self) -> None:
        """Forget what was told."""
        self.objects.clear()
        self.instances.clear()

    def for_neighbour(self, neighbour: str) -> tuple[list[Any], list[Any]]:
        """Return the wire entries and records that ``neighbour`` did not tell."""
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
