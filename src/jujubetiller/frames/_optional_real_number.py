"""A rule for real numbers that may be missing."""

from jujubetiller.frames import _real_number, _rule


class OptionalRealNumber(_rule.Rule):
    """Allows finite numbers from ``lowest`` to ``highest``, or nil."""

    def __init__(self, lowest: float, highest: float) -> None:
        self.number = _real_number.RealNumber(lowest, highest)
        self.allowed = f"nil and {self.number.allowed}"

    def allows(self, value: object) -> bool:
        """Return whether ``value`` is nil or a number within bounds."""
        return value is None or self.number.allows(value)

    def condition(self, rule: str, value: str) -> str:
        """Return Python source that checks for nil, the type and the bounds."""
        return f"({value} is None or {self.number.condition(f'{rule}.number', value)})"
