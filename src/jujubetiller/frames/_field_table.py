"""Validation of an array of field values."""

from collections.abc import Callable, Sequence
from typing import Any

from jujubetiller import codes
from jujubetiller.frames import _rule


class FieldTable:
    """The names and rules of the fields of an array, in the order of encoding."""

    def __init__(self, name: str, fields: Sequence[tuple[str, _rule.Rule]]) -> None:
        self.name = name
        self.names = tuple(name for name, _ in fields)
        self.rules = tuple(rule for _, rule in fields)
        self.count = len(self.rules)
        self._are_allowed = compile_check(self.rules)

    def allows(self, values: Sequence[Any]) -> bool:
        """Return whether the count is right and each field allows its value."""
        return len(values) == self.count and self._are_allowed(*values)

    def describe_problem(self, values: Sequence[Any]) -> codes.Problem:
        """Return the problem of values that ``allows`` rejected."""
        if len(values) != self.count:
            return codes.Problem(
                codes.ResultCode.BAD_FRAME,
                self.name,
                f"allowed are {self.count} fields, got {len(values)}",
            )
        for name, rule, value in zip(self.names, self.rules, values, strict=True):
            if not rule.allows(value):
                return codes.Problem(
                    codes.ResultCode.BAD_FRAME,
                    f"{self.name}.{name}",
                    f"allowed are {rule.allowed}, got {repr(value)[:80]}",
                )
        raise AssertionError(f"the rules of {self.name} contradict each other")


def compile_check(rules: Sequence[_rule.Rule]) -> Callable[..., bool]:
    """Return a function that checks one value for each rule.

    The check runs for each frame, and one compiled expression takes less time than a
    method call for each rule. Its source is built from the rules alone, never from
    received data.
    """
    values = [f"value_{index}" for index in range(len(rules))]
    named = {f"rule_{index}": rule for index, rule in enumerate(rules)}
    conditions = [
        rule.condition(name, value)
        for (name, rule), value in zip(named.items(), values, strict=True)
    ]
    source = f"lambda {', '.join(values)}: {' and '.join(conditions) or True}"
    check: Callable[..., bool] = eval(source, dict(named))
    return check
