"""A field for true or false."""

from jujubetiller.frames import _rule


class Flag(_rule.Rule):
    """True or false."""

    allowed = "true and false"

    def allows(self, value: object) -> bool:
        """Return whether ``value`` is a bool."""
        return type(value) is bool

    def condition(self, rule: str, value: str) -> str:
        """Return the check of the type."""
        return f"type({value}) is bool"
