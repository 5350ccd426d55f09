"""Log lines for a reader that may be slow."""

import collections
import os
import select

from jujubetiller.logs import _line_output

MAX_WAITING_BYTES = 1_048_576
"""Lines beyond this are dropped while the reader takes none."""


class DescriptorOutput(_line_output.LineOutput):
    """Writes to a descriptor as far as that is possible without waiting.

    The descriptor stays in blocking mode, as other processes may share it. A pipe that
    is reported as writable takes ``PIPE_BUF`` bytes without blocking, so longer lines
    are written in parts.
    """

    def __init__(
        self, descriptor: int, max_waiting_bytes: int = MAX_WAITING_BYTES
    ) -> None:
        self.descriptor = descriptor
        self.max_waiting_bytes = max_waiting_bytes
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)
        self.waiting: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0

    def write_line(self, line: str) -> bool:
        """Write ``line``, or keep it for later; False if too much is kept already."""
        data = line.encode(errors="backslashreplace") + b"\n"
        self.flush()
        if self.waiting and self.waiting_bytes + len(data) > self.max_waiting_bytes:
            return False
        self.waiting.append(data)
        self.waiting_bytes += len(data)
        self.flush()
        return True

    def flush(self) -> None:
        """Write what the reader takes.

        What can no longer be written, as the reader is gone, is dropped.
        """
        while self.waiting and self.poll.poll(0):
            part = self.waiting[0][: select.PIPE_BUF]
            try:
                written = os.write(self.descriptor, part)
            except BlockingIOError:
                return
            except OSError:
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.remove(written)

    def remove(self, count: int) -> None:
        """Remove ``count`` bytes that are written."""
        self.waiting_bytes -= count
        rest = self.waiting.popleft()[count:]
        if rest:
            self.waiting.appendleft(rest)
