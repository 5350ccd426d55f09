"""The messages by which nodes exchange their published state."""

from typing import Any

import attrs
import msgpack
import result

from jujubetiller import codes, published, settings


@attrs.frozen
class StateRequest:
    """A request for all changes after ``revision``."""

    revision: int
    sender: settings.Address
    """The peer address of the requesting node."""

    def encode(self) -> bytes:
        """Return the body of the request."""
        fields = [self.revision, self.sender.host, self.sender.port]
        return bytes(msgpack.packb(fields))


@attrs.frozen
class StateAnswer:
    """The changes that the requesting node lacks."""

    changes: published.Changes
    is_settled: bool
    """Whether the answering node's own reads of the store are stable."""

    def encode(self) -> bytes:
        """Return the body of the answer."""
        items = [[i.key, i.revision, i.value] for i in self.changes.items]
        changes = self.changes
        fields = [changes.revision, changes.is_listing, self.is_settled, items]
        return bytes(msgpack.packb(fields))


def decode_request(body: bytes) -> result.Result[StateRequest, codes.Problem]:
    """Return the request in ``body``."""
    try:
        revision, host, port = msgpack.unpackb(body)
        return result.Ok(StateRequest(int(revision), settings.Address(host, port)))
    except (ValueError, TypeError) as error:
        return result.Err(_describe(error))


def decode_answer(body: bytes) -> result.Result[StateAnswer, codes.Problem]:
    """Return the answer in ``body``."""
    try:
        revision, is_listing, is_settled, rows = msgpack.unpackb(body)
        items = tuple(_decode_item(row) for row in rows)
        changes = published.Changes(int(revision), items, bool(is_listing))
        return result.Ok(StateAnswer(changes, bool(is_settled)))
    except (ValueError, TypeError) as error:
        return result.Err(_describe(error))


def _decode_item(row: Any) -> published.PublishedItem:
    key, revision, value = row
    if not isinstance(key, str) or not isinstance(value, bytes | None):
        raise TypeError("allowed are rows of a key, a revision and bytes or null")
    return published.PublishedItem(key, int(revision), value)


def _describe(error: Exception) -> codes.Problem:
    return codes.Problem(codes.ResultCode.BAD_FRAME, "state", str(error))
