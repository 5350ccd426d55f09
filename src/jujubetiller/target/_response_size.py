"""The size of a response in progress, and the memory that it occupies."""

from jujubetiller.target import _held_memory

MAX_HEAD_BYTES = 262_144
"""Limit on the bytes received before the headers of a response are complete."""

MAX_HEADERS = 256
"""Limit on the headers of a response, as many as an answer between nodes holds."""

HEADER_COST_BYTES = 200
"""Approximate memory of a header beside its characters."""

OVERHEAD_PER_BODY_BYTE = 8
"""Bytes around one byte of a body, if each is a chunk of its own."""


class ResponseSize:
    """Counts the bytes received for one request, and those that are kept."""

    def __init__(self, memory: _held_memory.HeldMemory) -> None:
        self.memory = memory
        self.received_bytes = 0
        """All bytes received for the request."""

        self.head_bytes = 0
        self.body_bytes = 0
        self.has_too_many_headers = False
        self.held_bytes = 0
        """Memory that the response occupies."""

    def start_request(self) -> None:
        """Count for another request from now on."""
        self.received_bytes = 0
        self.has_too_many_headers = False
        self.discard()

    def discard(self) -> None:
        """Release the memory of what was received so far of a response."""
        self.memory.held_bytes -= self.held_bytes
        self.held_bytes = self.head_bytes = self.body_bytes = 0

    def receive(self, number: int, is_head: bool) -> None:
        """Count received bytes; those of a head are kept as they come."""
        self.received_bytes += number
        if is_head:
            self.head_bytes += number
            self._hold(number)

    def allows_header(self, count: int) -> bool:
        """Return whether a response with ``count`` headers may have one more."""
        if count >= MAX_HEADERS:
            self.has_too_many_headers = True
        return count < MAX_HEADERS

    def complete_head(self, header_count: int) -> None:
        """Count the memory of the parsed headers."""
        self._hold(HEADER_COST_BYTES * header_count)

    def add_body(self, number: int, max_answer_bytes: int) -> bool:
        """Count bytes of the body; return whether they are to be kept."""
        self.body_bytes += number
        if self.body_bytes > max_answer_bytes:
            return False
        self._hold(number)
        return True

    def is_too_large(self, max_answer_bytes: int, head_is_complete: bool) -> bool:
        """Return whether the part received so far exceeds a size limit.

        Bytes that belong to no header and no body, such as those of trailers, are not
        kept, but they must not go on until the deadline either.
        """
        if self.body_bytes > max_answer_bytes:
            return True
        if not head_is_complete and self.head_bytes > MAX_HEAD_BYTES:
            return True
        max_overhead = max_answer_bytes + MAX_HEAD_BYTES
        max_overhead += OVERHEAD_PER_BODY_BYTE * self.body_bytes
        overhead = self.received_bytes - self.body_bytes
        return self.has_too_many_headers or overhead > max_overhead

    def _hold(self, number: int) -> None:
        self.held_bytes += number
        self.memory.held_bytes += number
