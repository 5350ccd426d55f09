"""The headers of a request whose head is incomplete."""

import array
from collections.abc import Iterator


class HeaderBlock:
    """Keeps headers as the bytes that were received.

    An object for each name and value would occupy 200 bytes for each header. The memory
    of many small objects isn't available for bodies afterwards, so they are made only
    once a request is complete.

    >>> block = HeaderBlock()
    >>> block.append(b"host", b"a.example")
    >>> block.append(b"accept", b"")
    >>> list(block), len(block)
    ([('host', 'a.example'), ('accept', '')], 2)
    """

    __slots__ = ("content", "ends")

    def __init__(self) -> None:
        self.content = bytearray()
        self.ends = array.array("I")
        """Where each name and each value ends in ``content``."""

    def __len__(self) -> int:
        return len(self.ends) // 2

    def append(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self.content += name
        self.ends.append(len(self.content))
        self.content += value
        self.ends.append(len(self.content))

    def __iter__(self) -> Iterator[tuple[str, str]]:
        """Return the names and values in the order in which they were added."""
        text = self.content.decode("latin-1")
        ends = iter(self.ends)
        start = 0
        for name_end, value_end in zip(ends, ends, strict=True):
            yield text[start:name_end], text[name_end:value_end]
            start = value_end
