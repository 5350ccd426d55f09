"""The state that a node keeps for a call that runs at its target."""

import attrs

from jujubetiller import calls, records
from jujubetiller.retries import _duplicate_detector, _retry_ledger


@attrs.define
class CallContext:
    """A call running at the target; nested calls inherit deadline, rank and tree."""

    context_id: str
    """Given to the target with the call and sent back with nested calls."""

    deadline: calls.Deadline
    priority_class: int
    rank: int
    tree_id: str
    depth: int
    ledger: _retry_ledger.RetryLedger
    duplicates: _duplicate_detector.DuplicateDetector
    max_hops: int
    hops: list[records.HopRecord] = attrs.field(factory=list)
    """Records of the nested calls, at most ``max_hops``."""

    hops_dropped: int = 0

    requests: dict[int, calls.CallRequest] = attrs.field(factory=dict)
    """Non-idempotent nested calls that may have run, by fingerprint; bounded by
    nested_calls."""

    nested_count: int = 0
    """Nested calls under way."""

    nested_since_ms: float = 0.0

    nested_ms: float = 0.0
    """Time in which at least one nested call was under way."""

    pressure: int | None = None
    """The strictest pressure level that answers of nested calls reported."""

    pressure_service: str = ""

    def add_hops(self, hops: tuple[records.HopRecord, ...]) -> None:
        """Append the records of a nested call up to ``max_hops``; count the others."""
        room = self.max_hops - len(self.hops)
        self.hops.extend(hops[:room])
        self.hops_dropped += max(0, len(hops) - room)

    def add_pressure(self, level: int | None, service: str) -> None:
        """Record the pressure level of a nested call's answer."""
        if level is not None and (self.pressure is None or level < self.pressure):
            self.pressure = level
            self.pressure_service = service

    def enter_nested(self, now_ms: float) -> None:
        """Record the start of a nested call."""
        if self.nested_count == 0:
            self.nested_since_ms = now_ms
        self.nested_count += 1

    def leave_nested(self, now_ms: float) -> None:
        """Record the end of a nested call."""
        self.nested_count -= 1
        if self.nested_count == 0:
            self.nested_ms += now_ms - self.nested_since_ms
