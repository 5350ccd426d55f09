"""A change ticket."""

from collections.abc import Mapping

import attrs

from jujubetiller.tickets import _object_entry


@attrs.frozen
class Ticket:
    """A numbered change with the complete new state of the objects it changes."""

    number: int

    author: str

    objects: Mapping[str, _object_entry.ObjectEntry]
    """By full object name; an entry without content removes the object."""
