"""The messages of the control exchange."""

from collections.abc import Iterator
from typing import Any

import attrs
import msgpack

EAGER_PUSH_BYTES = 16_384
"""Larger updates are announced by a digest, so that a neighbour that has them already
does not receive them again."""

MAX_MESSAGE_BYTES = 49_152
"""Below the lowest frame limit in use, 64 KB, with room for headers."""


@attrs.frozen
class Digest:
    """Summarises a node's state for comparison. Only a node that is ready sends it."""

    ticket_digest: bytes
    membership_digest: bytes

    platform_age_ms: float
    """Age of the platform's newest answer to a reader of the sender's zone.

    Negative when there was none.
    """

    ticket_number: int


@attrs.frozen
class Pull:
    """Requests all entries of the buckets that differ; ``None`` requests none.

    A node that is ready ends its reply with an empty ``Push``.
    """

    ticket_index: dict[str, list[Any]] | None
    membership_index: dict[str, list[Any]] | None


@attrs.frozen
class Push:
    """Carries ticket entries and instance records in their wire form."""

    tickets: list[Any]
    records: list[Any]

    @property
    def is_end(self) -> bool:
        """Whether this is the end of the reply to a ``Pull``."""
        return not self.tickets and not self.records


Message = Digest | Pull | Push

_HEADER_BYTES = 16
"""The frame's length and type and the lengths of the two lists."""


def measure_message(message: Message) -> int:
    """Return the size on the wire in bytes, within a few bytes."""
    return 6 + len(msgpack.packb(attrs.astuple(message, recurse=False)))


def split_push(
    tickets: list[Any], records: list[Any], max_bytes: int
) -> Iterator[tuple[Push, int]]:
    """Yield messages of at most ``max_bytes`` with their sizes.

    A single larger item gets a message of its own.
    """
    lists: tuple[list[Any], list[Any]] = ([], [])
    size = _HEADER_BYTES
    for place, items in enumerate((tickets, records)):
        for item in items:
            item_bytes = len(msgpack.packb(item))
            if size + item_bytes > max_bytes and size > _HEADER_BYTES:
                yield Push(*lists), size
                lists, size = ([], []), _HEADER_BYTES
            lists[place].append(item)
            size += item_bytes
    if size > _HEADER_BYTES:
        yield Push(*lists), size
