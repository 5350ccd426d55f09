"""Detection of nested calls that a target sends again."""

import enum

import attrs


class NestedCallType(enum.Enum):
    """Whether a nested call is new, a duplicate or over the limit."""

    FIRST = "first"
    """Distinct work; its first send is free."""

    DUPLICATE = "repeat"
    """The earlier call failed or is under way; the send costs a retry token."""

    LIMIT = "limit"
    """The running call has made as many nested calls as the settings allow."""


@attrs.define
class _CallState:
    under_way: int = 0
    failed: bool = False


class DuplicateDetector:
    """Detects duplicates among the nested calls of one running call.

    A call is a duplicate if an earlier call with the same fingerprint is still
    under way or if the last one that ended failed. Otherwise it is distinct work.
    """

    __slots__ = ("call_count", "nested_calls", "states")

    def __init__(self, nested_calls: int) -> None:
        self.nested_calls = nested_calls
        self.call_count = 0
        self.states: dict[int, _CallState] = {}

    def classify(self, fingerprint: int) -> NestedCallType:
        """Return the type of a nested call and count it unless that is ``LIMIT``.

        Each counted call must be reported to ``finished`` once, even if it is
        refused.
        """
        if self.call_count >= self.nested_calls:
            return NestedCallType.LIMIT
        self.call_count += 1
        state = self.states.get(fingerprint)
        if state is None:
            self.states[fingerprint] = _CallState(under_way=1)
            return NestedCallType.FIRST
        is_duplicate = state.failed or state.under_way > 0
        state.under_way += 1
        return NestedCallType.DUPLICATE if is_duplicate else NestedCallType.FIRST

    def is_duplicate_under_way(self, fingerprint: int) -> bool:
        """Return whether at least two of the same calls are under way."""
        state = self.states.get(fingerprint)
        return state is not None and state.under_way > 1

    def finished(self, fingerprint: int, successful: bool) -> None:
        """Record how a nested call that ``classify`` counted ended."""
        state = self.states.get(fingerprint)
        if state is not None:
            state.under_way = max(0, state.under_way - 1)
            state.failed = not successful
