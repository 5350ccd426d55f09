"""The messages by which nodes exchange their published state."""

import functools
import math
import zlib
from typing import Any

import attrs
import msgpack
import result

from jujubetiller import codes, published, settings

COMPRESSED = 1
"""MessagePack extension type of a value that zlib has compressed."""

MIN_COMPRESSED_BYTES = 1_024
"""Shorter values are sent as they are."""

MAX_VALUE_BYTES = 8_388_608
"""Longest value that is decompressed; the store takes values of up to 1 MB."""

_FASTEST_LEVEL = 1


@attrs.frozen
class StateRequest:
    """A request for all changes after ``revision``."""

    revision: published.Revision
    sender: settings.Address
    """The peer address of the requesting node."""

    retained_digest: int = 0
    """What the requesting node retains, see ``RetainedItems.digest``."""

    asks_reader: bool = False
    """Whether the answering node is to read the store for the requesting one."""

    is_exact: bool = False
    """Whether the requesting node has no change after ``revision``."""

    def encode(self) -> bytes:
        """Return the body of the request."""
        revision = encode_revision(self.revision)
        sender = attrs.astuple(self.sender)
        fields = [
            revision,
            *sender,
            self.retained_digest,
            self.asks_reader,
            self.is_exact,
        ]
        return bytes(msgpack.packb(fields))


@attrs.frozen
class StateAnswer:
    """The changes that the requesting node lacks."""

    changes: published.Changes
    settled: published.Revision = published.Revision()
    """The revision up to which removals are final."""

    released_epoch: int = 0
    """The history in which a restored store no longer holds instances that are gone."""

    is_reader: bool = False
    """Whether the answering node reads the store, and its last read succeeded."""

    retained: tuple[published.RetainedItem, ...] = ()
    """What the answering node knows better than the store, if that differs from what
    the requesting node does."""

    age_ms: float | None = None
    """How old the answering node's knowledge of the store is; None if it has none, and
    in messages that answer no request."""

    def encode(self) -> bytes:
        """Return the body of the answer."""
        changes = self.changes
        items = [_encode_item(item) for item in changes.items]
        retained = [[_encode_item(r.item), r.is_removed] for r in self.retained]
        fields = [
            encode_revision(changes.revision),
            changes.is_listing,
            _encode_base(changes.exact_base),
            encode_revision(self.settled),
            self.released_epoch,
            self.is_reader,
            items,
            retained,
            self.age_ms,
        ]
        return bytes(msgpack.packb(fields))


def decode_request(body: bytes) -> result.Result[StateRequest, codes.Problem]:
    """Return the request in ``body``."""
    try:
        revision, host, port, digest, asks_reader, is_exact = msgpack.unpackb(body)
        return result.Ok(
            StateRequest(
                decode_revision(revision),
                settings.Address(check(host, str), check(port, int)),
                check(digest, int),
                check(asks_reader, bool),
                check(is_exact, bool),
            )
        )
    except (ValueError, TypeError) as error:
        return result.Err(describe(error))


def decode_answer(body: bytes) -> result.Result[StateAnswer, codes.Problem]:
    """Return the answer in ``body``."""
    try:
        (
            revision,
            is_listing,
            base,
            settled,
            released,
            is_reader,
            rows,
            retained,
            age_ms,
        ) = msgpack.unpackb(body)
        items = tuple(_decode_item(row) for row in check(rows, list))
        changes = published.Changes(
            decode_revision(revision),
            items,
            check(is_listing, bool),
            None if base is None else decode_revision(base),
        )
        return result.Ok(
            StateAnswer(
                changes,
                decode_revision(settled),
                _check_number(released),
                check(is_reader, bool),
                tuple(_decode_retained(row) for row in check(retained, list)),
                None if age_ms is None else _check_age(age_ms),
            )
        )
    except (ValueError, TypeError) as error:
        return result.Err(describe(error))


def _encode_item(item: published.PublishedItem) -> list[Any]:
    return [item.key, encode_revision(item.revision), _encode_value(item.value)]


def _encode_value(value: bytes | None) -> Any:
    if value is None or len(value) < MIN_COMPRESSED_BYTES:
        return value
    return msgpack.ExtType(COMPRESSED, _compress(value))


@functools.lru_cache(maxsize=2)
def _compress(value: bytes) -> bytes:
    """Return ``value`` compressed; several peers ask for the same configuration."""
    return zlib.compress(value, _FASTEST_LEVEL)


def _decode_retained(row: Any) -> published.RetainedItem:
    item, is_removed = check(row, list)
    return published.RetainedItem(_decode_item(item), check(is_removed, bool))


def _decode_item(row: Any) -> published.PublishedItem:
    key, revision, value = row
    return published.PublishedItem(
        check(key, str), decode_revision(revision), _decode_value(value)
    )


def _decode_value(value: Any) -> bytes | None:
    if value is None or type(value) is bytes:
        return value
    if type(value) is not msgpack.ExtType or value.code != COMPRESSED:
        raise TypeError(f"allowed are bytes and compressed bytes, got {value!r:.80}")
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(value.data, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise ValueError(f"value can't be decompressed: {error}") from None
    if not decompressor.eof:
        raise ValueError(f"allowed are values of up to {MAX_VALUE_BYTES} bytes")
    return decompressed


def check(value: Any, expected: type) -> Any:
    """Return ``value``, which must be of exactly the type ``expected``.

    Raises ``TypeError`` otherwise.
    """
    if type(value) is not expected:
        raise TypeError(f"allowed is {expected.__name__}, got {value!r:.80}")
    return value


def _encode_base(base: published.Revision | None) -> list[int] | None:
    return None if base is None else encode_revision(base)


def encode_revision(revision: published.Revision) -> list[int]:
    """Return the form of a revision in a message."""
    return [revision.epoch, revision.number]


def decode_revision(value: Any) -> published.Revision:
    """Return the revision in a message.

    Raises ``TypeError`` or ``ValueError`` if ``value`` holds none.
    """
    epoch, number = check(value, list)
    return published.Revision(_check_number(epoch), _check_number(number))


def _check_number(value: Any) -> int:
    number: int = check(value, int)
    if not 0 <= number <= published.MAX_NUMBER:
        raise ValueError(f"allowed are revisions from 0 to {published.MAX_NUMBER}")
    return number


def _check_age(value: Any) -> float:
    """Return an age; one that is too low would let revoked keys pass."""
    age_ms: float = check(value, float)
    if not 0.0 <= age_ms < math.inf:
        raise ValueError(f"allowed are ages from 0 on, got {age_ms!r}")
    return age_ms


def describe(error: Exception) -> codes.Problem:
    """Return the problem of a message that could not be decoded."""
    return codes.Problem(codes.ResultCode.BAD_FRAME, "state", str(error))
