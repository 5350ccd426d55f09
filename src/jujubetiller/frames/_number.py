"""The base class of the rules for numbers."""

from typing import ClassVar

from jujubetiller.frames import _rule


class Number(_rule.Rule):
    """Allows numbers from ``lowest`` to ``highest`` of the types of the subclass."""

    TYPES: ClassVar[tuple[type, ...]]
    """The exact types of allowed values; a bool does not count as an int."""

    NOUN = "numbers"

    def __init__(self, lowest: float, highest: float) -> None:
        self.lowest = lowest
        self.highest = highest
        self.allowed = f"{self.NOUN} from {lowest} to {highest}"

    def allows(self, value: object) -> bool:
        """Return whether ``value`` is a number within bounds; NaN never is."""
        return (
            isinstance(value, int | float)
            and type(value) in self.TYPES
            and self.lowest <= value <= self.highest
        )

    def condition(self, rule: str, value: str) -> str:
        """Return Python source that checks the type and the bounds."""
        return (
            f"type({value}) in {rule}.TYPES"
            f" and {self.lowest!r} <= {value} <= {self.highest!r}"
        )
