"""What a field of a frame may hold."""

import abc


class Rule(abc.ABC):
    """The values that are allowed in one field."""

    allowed: str
    """The allowed values in words, for the message of a problem."""

    @abc.abstractmethod
    def allows(self, value: object) -> bool:
        """Return whether ``value`` has the right type and is within bounds."""

    def condition(self, rule: str, value: str) -> str:
        """Return Python source of what ``allows`` tells.

        ``rule`` and ``value`` are the names of this rule and of the value in it.
        """
        return f"{rule}.allows({value})"
