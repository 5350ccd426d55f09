"""Recognition of nested calls that a target repeats itself."""

import enum

import attrs


class NestedCallType(enum.Enum):
    """What a nested call is to its context."""

    FIRST = "first"
    """Distinct work; its first send is free."""

    DUPLICATE = "repeat"
    """The same call again; its send costs a retry token."""

    LIMIT = "limit"
    """The running call made as many nested calls as its settings allow."""


@attrs.define
class _Seen:
    under_way: int = 0
    failed: bool = False


class DuplicateDetector:
    """Remembers the nested calls of one running call.

    A call whose earlier one was successful counts as distinct work. One whose
    earlier one failed or is still under way is a repeat.
    """

    __slots__ = ("call_count", "nested_calls", "seen")

    def __init__(self, nested_calls: int) -> None:
        self.nested_calls = nested_calls
        self.call_count = 0
        self.seen: dict[int, _Seen] = {}

    def classify(self, fingerprint: int) -> NestedCallType:
        """Count a nested call in, unless the answer is ``LIMIT``.

        Every call that is not ``LIMIT`` must be followed by one ``finished``,
        also when it is then refused.
        """
        if self.call_count >= self.nested_calls:
            return NestedCallType.LIMIT
        self.call_count += 1
        seen = self.seen.get(fingerprint)
        if seen is None:
            self.seen[fingerprint] = _Seen(under_way=1)
            return NestedCallType.FIRST
        is_repeat = seen.failed or seen.under_way > 0
        seen.under_way += 1
        return NestedCallType.DUPLICATE if is_repeat else NestedCallType.FIRST

    def is_duplicate_under_way(self, fingerprint: int) -> bool:
        """Return whether at least two of the same calls are under way."""
        seen = self.seen.get(fingerprint)
        return seen is not None and seen.under_way > 1

    def finished(self, fingerprint: int, successful: bool) -> None:
        """Record how a nested call that ``classify`` counted in ended."""
        seen = self.seen.get(fingerprint)
        if seen is not None:
            seen.under_way = max(0, seen.under_way - 1)
            seen.failed = not successful
