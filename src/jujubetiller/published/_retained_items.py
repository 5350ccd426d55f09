"""The items that a node knows better than a restored store."""

from collections.abc import Iterable

import attrs
import logbook
import msgpack
import xxhash

from jujubetiller.published import (
    _item_versions,
    _published_item,
    _publisher_version,
    _retained_item,
)

_Item = _published_item.PublishedItem
_Version = _publisher_version.PublisherVersion

_LOG = logbook.Logger("jujubetiller.published")

MAX_RETAINED = 1_024


@attrs.frozen
class _Entry:
    """A retained item with its version."""

    retained: _retained_item.RetainedItem
    version: _Version

    def rank(self) -> tuple[_Version, bool]:
        """Return what orders two entries: a removal comes after its last value."""
        return self.version, self.retained.is_removed


class RetainedItems:
    """Keeps the last values of keys that a restored store has lost.

    A value is dropped once the store holds the same one or a later one. At most
    ``max_retained`` values are kept.
    """

    def __init__(
        self, versions: _item_versions.ItemVersions, max_retained: int = MAX_RETAINED
    ) -> None:
        self.versions = versions
        self.max_retained = max_retained
        self.entries: dict[str, _Entry] = {}
        self.refused = 0
        """Items that were not kept because there were too many."""

    def get(self, key: str) -> _retained_item.RetainedItem | None:
        """Return what is retained for ``key``."""
        entry = self.entries.get(key)
        return None if entry is None else entry.retained

    def all(self) -> tuple[_retained_item.RetainedItem, ...]:
        """Return everything that is retained."""
        return tuple(entry.retained for entry in self.entries.values())

    def digest(self) -> int:
        """Return a number that is equal for nodes that retain the same; 0 for none."""
        if not self.entries:
            return 0
        rows = sorted(
            (key, *attrs.astuple(entry.version), entry.retained.is_removed)
            for key, entry in self.entries.items()
        )
        return xxhash.xxh64_intdigest(msgpack.packb(rows))

    def add(self, retained: _retained_item.RetainedItem) -> bool:
        """Keep an item and return True, unless it is invalid or a later one is kept."""
        key = retained.item.key
        version = self.versions.read_version(retained.item)
        if version is None:
            return False
        entry = _Entry(retained, version)
        known = self.entries.get(key)
        if known is not None and known.rank() >= entry.rank():
            return False
        if known is None and len(self.entries) >= self.max_retained:
            self.refused += 1
            return False
        self.entries[key] = entry
        return True

    def supersedes(self, item: _Item) -> bool:
        """Return whether what is retained is later than the store's ``item``.

        If it is not, it is dropped.
        """
        entry = self.entries.get(item.key)
        if entry is None:
            return False
        if self._is_later(entry, item):
            return True
        del self.entries[item.key]
        return False

    def drop_removals(self) -> list[str]:
        """Drop the keys that are retained as removed, and return them."""
        keys = [key for key, entry in self.entries.items() if entry.retained.is_removed]
        for key in keys:
            del self.entries[key]
        return keys

    def _is_later(self, entry: _Entry, item: _Item) -> bool:
        version = None if item.value is None else self.versions.read_version(item)
        if version is None:
            return self.versions.outlives_removal(item.key)
        if entry.version != version:
            return entry.version > version
        # The same value under another revision was written again after the restore.
        number = entry.retained.item.revision.number
        return entry.retained.is_removed and item.revision.number == number


def log_retained(items: Iterable[_retained_item.RetainedItem], reason: str) -> None:
    """Log items that are used although the store holds older ones."""
    for retained in items:
        _LOG.info(
            "published item kept: the store holds an older one",
            extra={
                "key": retained.item.key,
                "revision": str(retained.item.revision),
                "is_removed": retained.is_removed,
                "reason": reason,
            },
        )
