"""A rule for fields that hold one of a few numbers."""

from collections.abc import Collection

from jujubetiller.frames import _rule


class Choice(_rule.Rule):
    """Allows the whole numbers in ``members``."""

    def __init__(self, members: Collection[int]) -> None:
        self.members = frozenset(members)
        self.allowed = f"one of {', '.join(map(str, sorted(self.members)))}"

    def allows(self, value: object) -> bool:
        """Return whether ``value`` is one of the numbers."""
        return type(value) is int and value in self.members
