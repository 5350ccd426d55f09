"""The messages by which nodes exchange their published state."""

import functools
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

    def encode(self) -> bytes:
        """Return the body of the request."""
        revision = _encode_revision(self.revision)
        fields = [revision, *attrs.astuple(self.sender), self.retained_digest]
        return bytes(msgpack.packb(fields))


@attrs.frozen
class StateAnswer:
    """The changes that the requesting node lacks."""

    changes: published.Changes
    is_settled: bool
    """Whether the answering node's own reads of the store are stable."""

    retained: tuple[published.RetainedItem, ...] = ()
    """What the answering node knows better than the store, if that differs from what
    the requesting node does."""

    def encode(self) -> bytes:
        """Return the body of the answer."""
        changes = self.changes
        items = [_encode_item(item) for item in changes.items]
        retained = [[_encode_item(r.item), r.is_removed] for r in self.retained]
        revision = _encode_revision(changes.revision)
        fields = [revision, changes.is_listing, self.is_settled, items, retained]
        return bytes(msgpack.packb(fields))


def decode_request(body: bytes) -> result.Result[StateRequest, codes.Problem]:
    """Return the request in ``body``."""
    try:
        revision, host, port, digest = msgpack.unpackb(body)
        sender = settings.Address(_check(host, str), _check(port, int))
        return result.Ok(
            StateRequest(_decode_revision(revision), sender, _check(digest, int))
        )
    except (ValueError, TypeError) as error:
        return result.Err(_describe(error))


def decode_answer(body: bytes) -> result.Result[StateAnswer, codes.Problem]:
    """Return the answer in ``body``."""
    try:
        revision, is_listing, is_settled, rows, retained = msgpack.unpackb(body)
        items = tuple(_decode_item(row) for row in _check(rows, list))
        changes = published.Changes(
            _decode_revision(revision), items, _check(is_listing, bool)
        )
        return result.Ok(
            StateAnswer(
                changes,
                _check(is_settled, bool),
                tuple(_decode_retained(row) for row in _check(retained, list)),
            )
        )
    except (ValueError, TypeError) as error:
        return result.Err(_describe(error))


def _encode_item(item: published.PublishedItem) -> list[Any]:
    return [item.key, _encode_revision(item.revision), _encode_value(item.value)]


def _encode_value(value: bytes | None) -> Any:
    if value is None or len(value) < MIN_COMPRESSED_BYTES:
        return value
    return msgpack.ExtType(COMPRESSED, _compress(value))


@functools.lru_cache(maxsize=2)
def _compress(value: bytes) -> bytes:
    """Return ``value`` compressed; several peers ask for the same configuration."""
    return zlib.compress(value, _FASTEST_LEVEL)


def _decode_retained(row: Any) -> published.RetainedItem:
    item, is_removed = _check(row, list)
    return published.RetainedItem(_decode_item(item), _check(is_removed, bool))


def _decode_item(row: Any) -> published.PublishedItem:
    key, revision, value = row
    return published.PublishedItem(
        _check(key, str), _decode_revision(revision), _decode_value(value)
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


def _check(value: Any, expected: type) -> Any:
    """Return ``value``, which must be of exactly the type ``expected``.

    Raises ``TypeError`` otherwise.
    """
    if type(value) is not expected:
        raise TypeError(f"allowed is {expected.__name__}, got {value!r:.80}")
    return value


def _encode_revision(revision: published.Revision) -> list[int]:
    return [revision.epoch, revision.number]


def _decode_revision(value: Any) -> published.Revision:
    epoch, number = _check(value, list)
    return published.Revision(_check_number(epoch), _check_number(number))


def _check_number(value: Any) -> int:
    number: int = _check(value, int)
    if not 0 <= number <= published.MAX_NUMBER:
        raise ValueError(f"allowed are revisions from 0 to {published.MAX_NUMBER}")
    return number


def _describe(error: Exception) -> codes.Problem:
    return codes.Problem(codes.ResultCode.BAD_FRAME, "state", str(error))
