"""The tickets in force."""

import attrs


@attrs.frozen
class TicketView:
    """The document that ``/tickets`` returns."""

    highest: int
    conflicts: int

    digest: str
    """Equal on two nodes that have the same objects in force."""

    objects: dict[str, int]
    """The number of the ticket in force for each object."""
