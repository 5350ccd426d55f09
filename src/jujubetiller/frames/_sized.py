"""A field for text or bytes."""

from jujubetiller.frames import _rule


class Sized(_rule.Rule):
    """Text or bytes of a length up to ``max_length``."""

    NOUN = ""

    def __init__(self, max_length: int) -> None:
        self.max_length = max_length
        self.allowed = f"{self.NOUN} of a length up to {max_length}"

    def allows(self, value: object) -> bool:
        """Return whether ``value`` has the type and is not too long."""
        return (
            isinstance(value, str | bytes)
            and type(value) in self.TYPES
            and len(value) <= self.max_length
        )

    def condition(self, rule: str, value: str) -> str:
        """Return the check of the type and of the length."""
        return f"type({value}) in {rule}.TYPES and len({value}) <= {self.max_length}"
