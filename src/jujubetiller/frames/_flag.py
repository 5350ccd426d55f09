"""A rule for boolean fields."""

from jujubetiller.frames import _rule


class Flag(_rule.Rule):
    """Allows true and false."""

    allowed = "true and false"

    def allows(self, value: object) -> bool:
        """Return whether ``value`` is a bool."""
        return type(value) is bool

    def condition(self, rule: str, value: str) -> str:
        """Return Python source that checks the type."""
        return f"type({value}) is bool"
