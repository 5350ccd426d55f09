"""The answers of the platform's store."""

import base64
from typing import Any

import attrs
import logbook

from jujubetiller import published
from jujubetiller.platform import _configuration, _fields, _key_digests

_LOG = logbook.Logger("jujubetiller.platform")

OK = 200
GONE = 410


@attrs.frozen
class ItemRows:
    """The items of one answer."""

    items: tuple[published.PublishedItem, ...]

    problems: tuple[str, ...]
    """Why the rows that hold no item could not be read."""

    last_key: str
    """The key of the last row, after which the next page begins."""

    def log_problems(self) -> int:
        """Log that rows could not be read, and return how many."""
        if self.problems:
            _LOG.warning(
                "store items not read",
                extra={"items": len(self.problems), "first": self.problems[0]},
            )
        return len(self.problems)

    def lacks_changes(
        self, after: published.Revision, as_of: published.Revision
    ) -> bool:
        """Return whether a watch from ``after`` has left out changes up to ``as_of``.

        A watch covers all keys, so that its last event has the answer's revision.
        """
        if self.problems:
            return False
        return as_of > max((item.revision for item in self.items), default=after)

    def has_any(self) -> bool:
        """Return whether the answer has rows, also if none of them could be read."""
        return bool(self.items or self.problems)


@attrs.frozen
class StoreAnswer:
    """An answer of the store."""

    status: int | str
    """The HTTP status, or the reason for which there is none."""

    page: Any
    """The parsed body of an answer with status 200."""

    epoch: int
    """The history that the answer is from."""

    def read_items(self, field: str) -> "ItemRows":
        """Return the listed items or the events of a watch in ``field``.

        Raises ``FieldError`` if there is no such list, or a row in it has no key.
        """
        items: list[published.PublishedItem] = []
        problems: list[str] = []
        last_key = ""
        for row in _fields.read(self.page, field, list):
            last_key = _fields.read(row, "key", str)
            try:
                items.append(_translate_item(row, self.epoch))
            except ValueError as error:
                problems.append(f"{last_key!r:.80}: {error}")
        return ItemRows(tuple(items), tuple(problems), last_key)

    def read_revision(self) -> published.Revision:
        """Return the revision of the store as of the answer.

        Raises ``FieldError`` for a missing or invalid field.
        """
        return published.Revision(self.epoch, _fields.read_integer(self.page, "as_of"))


def _translate_item(row: Any, epoch: int) -> published.PublishedItem:
    item = _read_item(row, epoch)
    return _key_digests.hide_keys(item) if item.key == _configuration.KEY else item


def _read_item(row: Any, epoch: int) -> published.PublishedItem:
    key = _fields.read_text(row, "key")
    revision = published.Revision(epoch, _fields.read_integer(row, "revision"))
    if row.get("tombstone"):
        return published.PublishedItem(key, revision, None)
    value = base64.b64decode(_fields.read(row, "value", str), validate=True)
    return published.PublishedItem(key, revision, value)
