"""The messages by which nodes exchange their published state."""

from typing import Any

import attrs
import msgpack
import result

from jujubetiller import codes, published, settings


@attrs.frozen
class StateRequest:
    """A request for all changes after ``revision``."""

    revision: published.Revision
    sender: settings.Address
    """The peer address of the requesting node."""

    def encode(self) -> bytes:
        """Return the body of the request."""
        fields = [_encode_revision(self.revision), *attrs.astuple(self.sender)]
        return bytes(msgpack.packb(fields))


@attrs.frozen
class StateAnswer:
    """The changes that the requesting node lacks."""

    changes: published.Changes
    is_settled: bool
    """Whether the answering node's own reads of the store are stable."""

    def encode(self) -> bytes:
        """Return the body of the answer."""
        changes = self.changes
        items = [[i.key, _encode_revision(i.revision), i.value] for i in changes.items]
        revision = _encode_revision(changes.revision)
        fields = [revision, changes.is_listing, self.is_settled, items]
        return bytes(msgpack.packb(fields))


def decode_request(body: bytes) -> result.Result[StateRequest, codes.Problem]:
    """Return the request in ``body``."""
    try:
        revision, host, port = msgpack.unpackb(body)
        sender = settings.Address(_check(host, str), _check(port, int))
        return result.Ok(StateRequest(_decode_revision(revision), sender))
    except (ValueError, TypeError) as error:
        return result.Err(_describe(error))


def decode_answer(body: bytes) -> result.Result[StateAnswer, codes.Problem]:
    """Return the answer in ``body``."""
    try:
        revision, is_listing, is_settled, rows = msgpack.unpackb(body)
        items = tuple(_decode_item(row) for row in _check(rows, list))
        changes = published.Changes(
            _decode_revision(revision), items, _check(is_listing, bool)
        )
        return result.Ok(StateAnswer(changes, _check(is_settled, bool)))
    except (ValueError, TypeError) as error:
        return result.Err(_describe(error))


def _decode_item(row: Any) -> published.PublishedItem:
    key, revision, value = row
    if value is not None:
        _check(value, bytes)
    return published.PublishedItem(_check(key, str), _decode_revision(revision), value)


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
