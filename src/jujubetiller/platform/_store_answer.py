"""The answers of the platform's store."""

import base64
from typing import Any

import attrs

from jujubetiller import published
from jujubetiller.platform import _fields

OK = 200
GONE = 410


@attrs.frozen
class StoreAnswer:
    """An answer of the store."""

    status: int | str
    """The HTTP status, or the reason for which there is none."""

    page: Any
    """The parsed body of an answer with status 200."""

    epoch: int
    """The history that the answer is from."""

    def read_items(self, field: str) -> tuple[published.PublishedItem, ...]:
        """Return the listed items or the events of a watch in ``field``.

        Raises ``FieldError`` for a missing or invalid field.
        """
        rows = _fields.read(self.page, field, list)
        return tuple(_translate_item(row, self.epoch) for row in rows)

    def read_revision(self) -> published.Revision:
        """Return the revision of the store as of the answer.

        Raises ``FieldError`` for a missing or invalid field.
        """
        return published.Revision(self.epoch, _fields.read_integer(self.page, "as_of"))


def _translate_item(row: Any, epoch: int) -> published.PublishedItem:
    key = _fields.read_text(row, "key")
    revision = published.Revision(epoch, _fields.read_integer(row, "revision"))
    if row.get("tombstone"):
        return published.PublishedItem(key, revision, None)
    value = base64.b64decode(_fields.read(row, "value", str), validate=True)
    return published.PublishedItem(key, revision, value)
