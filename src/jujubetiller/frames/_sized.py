"""The base class of the rules for text and bytes."""

from typing import ClassVar

from jujubetiller.frames import _rule


class Sized(_rule.Rule):
    """Allows text or bytes of a length up to ``max_length``."""

    TYPES: ClassVar[tuple[type, ...]]
    """The exact types of allowed values."""

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
        """Return Python source that checks the type and the length."""
        return f"type({value}) in {rule}.TYPES and len({value}) <= {self.max_length}"
