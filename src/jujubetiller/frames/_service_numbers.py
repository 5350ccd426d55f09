"""A rule for arrays of alternating service names and numbers."""

from jujubetiller.frames import _real_number, _rule, _text

_NAME = _text.Text(256)
_NUMBER = _real_number.RealNumber(0, 1e12)


class ServiceNumbers(_rule.Rule):
    """Allows a flat array: name, number, name, number."""

    def __init__(self, max_pairs: int) -> None:
        self.max_items = 2 * max_pairs
        self.allowed = (
            f"an array of at most {max_pairs} pairs of a name and a number from 0 on"
        )

    def allows(self, value: object) -> bool:
        """Return whether ``value`` is a flat array of pairs."""
        if type(value) is not list or len(value) > self.max_items or len(value) % 2:
            return False
        return all(map(_NAME.allows, value[::2])) and all(
            map(_NUMBER.allows, value[1::2])
        )
