"""Sending of large bodies in parts."""

import array
import contextlib
import fcntl
import termios
from collections.abc import Callable
from typing import Any

from twisted.internet import abstract, interfaces, tcp
from zope.interface import implementer

PART_BYTES = 65_536

LARGE_BODY_BYTES = 262_144
"""Larger bodies are written in parts. A transport copies what it cannot send at once,
which doubles the memory of the body."""


@implementer(interfaces.IPullProducer)
class BodyProducer:
    """Writes ``body`` to ``transport`` as fast as it is sent.

    ``on_end`` is called once the last part is written.
    """

    def __init__(
        self,
        transport: Any,
        body: bytes,
        on_end: Callable[[], None] = lambda: None,
    ) -> None:
        self.transport = transport
        self.body = body
        self.position = 0
        self.on_end = on_end
        self.has_ended = False
        """Whether the whole body is written, or the connection is lost."""

    def start(self) -> None:
        """Begin to write."""
        self.transport.registerProducer(self, False)

    def unsent_bytes(self) -> int:
        """Return how much of the body is not written yet."""
        return len(self.body) - self.position

    def resumeProducing(self) -> None:
        """Write the next part."""
        part = self.body[self.position : self.position + PART_BYTES]
        self.position += len(part)
        self.transport.write(part)
        if self.position >= len(self.body):
            self.stopProducing()
            self.transport.unregisterProducer()
            on_end, self.on_end = self.on_end, lambda: None
            on_end()

    def stopProducing(self) -> None:
        """Drop the rest of the body: it is written, or the connection is lost."""
        self.body = b""
        self.position = 0
        self.has_ended = True


def sends_in_parts(transport: Any, body: bytes) -> bool:
    """Return whether ``body`` is to be written in parts."""
    return len(body) > LARGE_BODY_BYTES and isinstance(
        transport, abstract.FileDescriptor
    )


def count_unread(transport: Any) -> int:
    """Return the bytes that the system has received for ``transport``.

    The result is 0 for a transport that is not a socket, or if the system can't tell.
    """
    if not isinstance(transport, tcp.Connection) or not transport.connected:
        return 0
    count = array.array("i", [0])
    with contextlib.suppress(OSError):
        fcntl.ioctl(transport.fileno(), termios.FIONREAD, count)
    return count[0]


def count_unsent(transport: Any) -> int:
    """Return the bytes that ``transport`` has not sent yet."""
    if not isinstance(transport, abstract.FileDescriptor):
        return 0
    return len(transport.dataBuffer) - transport.offset + transport._tempDataLen
