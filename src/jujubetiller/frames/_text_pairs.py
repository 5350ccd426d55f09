"""A rule for arrays of alternating names and values, such as headers."""

from jujubetiller.frames import _rule

_TEXT = frozenset((str,))


class TextPairs(_rule.Rule):
    """Allows a flat array of text: name, value, name, value."""

    def __init__(self, max_pairs: int) -> None:
        self.max_items = 2 * max_pairs
        self.allowed = f"an array of at most {max_pairs} pairs of text"

    def allows(self, value: object) -> bool:
        """Return whether ``value`` is a flat array of pairs."""
        if type(value) is not list or len(value) > self.max_items or len(value) % 2:
            return False
        return _TEXT.issuperset(map(type, value))
