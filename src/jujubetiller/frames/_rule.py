"""The base class of the validation rules for frame fields."""

import abc


class Rule(abc.ABC):
    """Decides which values are allowed in a field."""

    allowed: str
    """Describes the allowed values, for problem messages."""

    @abc.abstractmethod
    def allows(self, value: object) -> bool:
        """Return whether ``value`` has the right type and is within bounds."""

    def condition(self, rule: str, value: str) -> str:
        """Return Python source of an expression equivalent to ``allows``.

        ``rule`` and ``value`` are the variable names of this rule and of the value.
        """
        return f"{rule}.allows({value})"
