"""Assembly of bodies that are received in several DATA frames."""

import xxhash

from jujubetiller import buffers
from jujubetiller.streams import _memory_budget, _receive_window


class BodyAssembler:
    """Collects the parts of one body and verifies its announced length and checksum.

    The caller must have reserved the announced length in ``budget``; ``release``
    returns it.
    """

    __slots__ = (
        "body",
        "budget",
        "checksum",
        "expected_bytes",
        "received_bytes",
        "window",
    )

    def __init__(
        self,
        expected_bytes: int,
        checksum: int,
        window_bytes: int,
        budget: _memory_budget.MemoryBudget,
    ) -> None:
        self.expected_bytes = expected_bytes
        self.checksum = checksum
        self.budget = budget
        self.body = buffers.BodyBuffer()
        self.received_bytes = 0
        self.window = _receive_window.ReceiveWindow(window_bytes)

    def add(self, part: bytes) -> bool:
        """Add a part; False if it exceeds the announced length or the credit."""
        self.body.add(part)
        self.received_bytes += len(part)
        return self.window.consume(len(part)) and (
            self.received_bytes <= self.expected_bytes
        )

    def is_full(self) -> bool:
        """Return whether at least the announced length was received."""
        return self.received_bytes >= self.expected_bytes

    def assemble(self) -> bytes | None:
        """Return the body, or None if its length or checksum is wrong."""
        body = self.body.take()
        return body if is_intact(body, self.expected_bytes, self.checksum) else None

    def release(self) -> None:
        """Release the reserved memory; must be called exactly once."""
        self.budget.release(self.expected_bytes)


def is_intact(body: bytes, length: int, checksum: int) -> bool:
    """Return whether ``body`` has the announced length and xxh64 checksum."""
    return len(body) == length and xxhash.xxh64_intdigest(body) == checksum
