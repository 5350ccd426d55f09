"""A rule for whole numbers that may be missing."""

from jujubetiller.frames import _rule, _whole_number


class OptionalWholeNumber(_rule.Rule):
    """Allows whole numbers from ``lowest`` to ``highest``, or nil."""

    def __init__(self, lowest: int, highest: int) -> None:
        self.number = _whole_number.WholeNumber(lowest, highest)
        self.allowed = f"nil and {self.number.allowed}"

    def allows(self, value: object) -> bool:
        """Return whether ``value`` is nil or a whole number within bounds."""
        return value is None or self.number.allows(value)
