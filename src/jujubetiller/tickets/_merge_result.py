"""The result of a merge."""

import attrs

from jujubetiller.tickets import _object_entry


@attrs.frozen
class MergeResult:
    """The effect of merging a ticket, or entries of a peer, into the state."""

    changed: tuple[_object_entry.ObjectEntry, ...] = ()
    """Entries that came into force."""

    conflicts: tuple[str, ...] = ()
    """Objects for which one number was first found with two different contents."""

    over_limit: tuple[str, ...] = ()
    """New objects that were ignored because the state is at its limit."""

    problems: tuple[str, ...] = ()
    """Reasons why entries of a peer were rejected."""
