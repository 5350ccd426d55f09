"""The answers that an owner stores for duplicates of a call."""

import collections

import attrs

from jujubetiller import calls
from jujubetiller.keys import _execution_key

# Approximate size of the Python objects that hold an answer's bytes.
_ANSWER_OVERHEAD_BYTES = 400
_HEADER_OVERHEAD_BYTES = 150


def measure_answer(answer: calls.CallAnswer) -> int:
    """Return approximately how many bytes of memory ``answer`` occupies."""
    header_bytes = sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        for name, value in answer.headers
    )
    return len(answer.body) + header_bytes + _ANSWER_OVERHEAD_BYTES


def make_shared(answer: calls.CallAnswer) -> calls.CallAnswer:
    """Return ``answer`` without the fields that are meant for the first caller only.

    The first caller lent the retry tokens; returning them to another caller would
    create tokens.
    """
    return attrs.evolve(answer, hops=(), tokens_returned=0)


class RecordedAnswers:
    """Chooses the oldest answers to drop when their total size exceeds the limit."""

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0
        self.order: collections.deque[tuple[_execution_key.ExecutionKey, int]] = (
            collections.deque()
        )

    def add(
        self, key: _execution_key.ExecutionKey, answer: calls.CallAnswer
    ) -> list[_execution_key.ExecutionKey]:
        """Add an answer and return the keys whose answers must be dropped."""
        size = measure_answer(answer)
        if size > self.capacity_bytes:
            # It never fits, so no answer of another key is dropped for it.
            return [key]
        self.order.append((key, size))
        self.held_bytes += size
        dropped = []
        while self.held_bytes > self.capacity_bytes:
            oldest, oldest_size = self.order.popleft()
            self.held_bytes -= oldest_size
            dropped.append(oldest)
        return dropped

    def drop_before(self, epoch: int) -> None:
        """Drop the answers of keys whose epoch is before ``epoch``."""
        kept: collections.deque[tuple[_execution_key.ExecutionKey, int]] = (
            collections.deque()
        )
        for key, size in self.order:
            if key.epoch < epoch:
                self.held_bytes -= size
            else:
                kept.append((key, size))
        self.order = kept
