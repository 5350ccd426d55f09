"""The check of a whole array of fields."""

from collections.abc import Callable, Sequence
from typing import Any

from jujubetiller import codes
from jujubetiller.frames import _rule


class FieldTable:
    """Names and rules of the fields of an array, in the order of the wire."""

    def __init__(self, name: str, fields: Sequence[tuple[str, _rule.Rule]]) -> None:
        self.name = name
        self.names = tuple(name for name, _ in fields)
        self.rules = tuple(rule for _, rule in fields)
        self.count = len(self.rules)
        self._are_allowed = compile_check(self.rules)

    def allows(self, values: Sequence[Any]) -> bool:
        """Return whether every value is allowed in its field."""
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
    """Return a function that takes a value for each rule and checks them all.

    The check runs for each frame, and one expression takes less time than a call for
    each rule. Its source comes from the rules alone, never from what is received.
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
