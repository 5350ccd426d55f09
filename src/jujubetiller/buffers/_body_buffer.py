"""A body that arrives in parts."""

import io


class BodyBuffer:
    """Joins the parts of a body as they arrive.

    Kept apart, parts of a few bytes would occupy many times their size. A sender could
    then exceed a limit on memory with a body far below a limit on bytes.

    >>> buffer = BodyBuffer()
    >>> buffer.add(b"ab")
    >>> buffer.add(b"c")
    >>> buffer.take()
    b'abc'
    >>> buffer.take()
    b''
    """

    __slots__ = ("content",)

    def __init__(self) -> None:
        self.content: bytes | io.BytesIO = b""

    def add(self, part: bytes) -> None:
        """Append a part. The only part of a body is kept without a copy."""
        if not self.content:
            self.content = part
            return
        if isinstance(self.content, bytes):
            first, self.content = self.content, io.BytesIO()
            self.content.write(first)
        self.content.write(part)

    def take(self) -> bytes:
        """Return the body received so far, without a copy, and empty the buffer."""
        content, self.content = self.content, b""
        return content if isinstance(content, bytes) else content.getvalue()

    def clear(self) -> None:
        """Drop what was received so far."""
        self.content = b""
