"""The published items that a node knows."""

from collections.abc import Callable, Iterable

import attrs
import logbook

from jujubetiller.published import (
    _changes,
    _item_versions,
    _published_item,
    _retained_item,
    _retained_items,
    _revision,
)

_Item = _published_item.PublishedItem
_Retained = _retained_item.RetainedItem

_LOG = logbook.Logger("jujubetiller.published")

MAX_LOGGED_KEYS = 8

MAX_REMOVED = 4_096
"""Removals kept for readers that lag behind; a reader that lacks older ones needs a
listing."""


@attrs.frozen
class _Removal:
    """A removal and the value before it, if that is known."""

    item: _Item
    last: _Item | None


class PublishedState:
    """Merges items of the store and of peers; the higher revision of a key wins.

    No change up to ``revision`` is missing. Observers get the items that changed,
    in the order of their revisions.

    Items of a newer history of the store replace those of older ones, also where
    their numbers are lower. Only a listing leads to a newer history, as it tells which
    keys the restored store lacks. Values that their publishers have since replaced are
    not passed on: ``retained`` holds the later ones that the node or a peer knows.
    """

    def __init__(
        self,
        versions: _item_versions.ItemVersions,
        max_removed: int = MAX_REMOVED,
    ) -> None:
        self.versions = versions
        self.max_removed = max_removed
        self.items: dict[str, _Item] = {}
        self.removed: dict[str, _Removal] = {}
        self.retained = _retained_items.RetainedItems(versions)
        self.revision = _revision.Revision()
        self.listed_at_revision = _revision.Revision()
        """Removals up to this revision may be missing."""

        self.before_listing: _revision.Revision | None = None
        """The revision before the last listing: what a reader that is exactly there
        lacks is known, as the listing was compared with the items of that revision."""

        self.highest = _revision.Revision()
        """The highest revision of an item; that of the state is lower after a listing
        whose pages are from different moments."""

        self.released_epoch: int | None = None
        """The history in which removals are no longer retained."""

        self.ignored = 0
        """Items that were ignored because a later change of their key was known."""

        self.observer_errors = 0
        self.observers: list[Callable[[list[_Item]], None]] = []

    def apply(self, changes: _changes.Changes) -> None:
        """Merge ``changes``.

        A listing removes the keys that it lacks, unless they changed after it.

        Raises ``ValueError`` for changes that ``can_apply`` rejects.
        """
        if not self.can_apply(changes):
            raise ValueError("the changes leave a gap")
        was_exact = self.is_exact()
        items = list(changes.items)
        self.highest = max((self.highest, *(item.revision for item in items)))
        if changes.is_listing:
            items += self._find_missing(changes)
        self._record_ignored(items)
        changed = [item for item in items if self._merge(item)]
        if changes.is_listing and changes.revision > self.revision:
            self.listed_at_revision = changes.revision
            is_known = changes.revision.epoch == self.revision.epoch and was_exact
            self.before_listing = self.revision if is_known else None
        self.revision = max(self.revision, changes.revision)
        self._notify_all(changed)

    def apply_retained(self, items: Iterable[_Retained]) -> None:
        """Merge what a peer knows better than the store."""
        taken = [retained for retained in items if self._takes(retained)]
        _retained_items.log_retained(taken, "peer")
        self._notify_all([self._make_effective(retained) for retained in taken])

    def list_values_to_retain(self) -> tuple[_Retained, ...]:
        """Return what a reader that is in a newer history may not know.

        These are values that outlive a removal, and the last ones of removed keys.
        """
        lasting = (
            _Retained(item, False)
            for key, item in self.items.items()
            if self.versions.outlives_removal(key)
        )
        removed = (
            _Retained(removal.last, True)
            for removal in self.removed.values()
            if removal.last is not None
        )
        return (*lasting, *removed)[: self.retained.max_retained]

    def release_removals(self) -> None:
        """Use the instances that the store still holds although they were removed.

        Called when the store has been back for so long that the entries of those that
        are gone have expired. They are not retained again in this history.
        """
        if self.released_epoch == self.revision.epoch:
            return
        self.released_epoch = self.revision.epoch
        keys = self.retained.drop_removals()
        released = [self.items[key] for key in keys if key in self.items]
        for item in released:
            _LOG.info("removed item is back", extra={"key": item.key})
        self._notify_all(released)

    def can_apply(self, changes: _changes.Changes) -> bool:
        """Return whether ``changes`` leave no gap.

        A newer history needs a listing, and what differs from one revision only can be
        applied nowhere else.
        """
        if changes.exact_base is not None:
            return self.is_exact() and self.revision == changes.exact_base
        return changes.is_listing or changes.revision.epoch <= self.revision.epoch

    def is_exact(self) -> bool:
        """Return whether the state holds no change after its revision."""
        return self.highest <= self.revision

    def changes_since(
        self, revision: _revision.Revision, is_exact: bool = False
    ) -> _changes.Changes:
        """Return the changes that a reader which has those up to ``revision`` lacks.

        ``is_exact`` tells that the reader has no later ones.
        """
        is_listing = revision < self.listed_at_revision
        exact_base = None
        if is_listing and is_exact and revision == self.before_listing:
            is_listing = False
            exact_base = revision
        if is_listing:
            items = list(self.items.values())
        else:
            removals = (removal.item for removal in self.removed.values())
            known = (*self.items.values(), *removals)
            items = [item for item in known if item.revision > revision]
        return _changes.Changes(self.revision, tuple(items), is_listing, exact_base)

    def _notify_all(self, changed: list[_Item]) -> None:
        if not changed:
            return
        changed.sort(key=lambda item: item.revision)
        for observer in self.observers:
            self._notify(observer, changed)

    def _notify(
        self, observer: Callable[[list[_Item]], None], changed: list[_Item]
    ) -> None:
        """Pass the changes on to one observer.

        They are not read again, so the error of one observer must not keep them from
        the others, nor end the stream or the watch that they came from.
        """
        try:
            observer(changed)
        except Exception:
            self.observer_errors += 1
            _LOG.exception(
                "published items not applied",
                extra={"keys": [item.key for item in changed[:MAX_LOGGED_KEYS]]},
            )

    def _record_ignored(self, items: list[_Item]) -> None:
        """Count and log the items that are older than what is known of their keys."""
        ignored = [item for item in items if self._is_older(item)]
        if not ignored:
            return
        self.ignored += len(ignored)
        _LOG.info(
            "published items ignored as old",
            extra={
                "items": len(ignored),
                "keys": [item.key for item in ignored[:MAX_LOGGED_KEYS]],
                "highest": str(max(item.revision for item in ignored)),
                "known": str(self.revision),
            },
        )

    def _find_known(self, key: str) -> _Item | None:
        """Return the last change of ``key``, which may be its removal."""
        removal = self.removed.get(key)
        return self.items.get(key) if removal is None else removal.item

    def _is_older(self, item: _Item) -> bool:
        known = self._find_known(item.key)
        return known is not None and known.revision > item.revision

    def _find_missing(self, changes: _changes.Changes) -> list[_Item]:
        listed = {item.key for item in changes.items}
        return [
            _Item(key, changes.revision, None)
            for key, item in self.items.items()
            if key not in listed and item.revision <= changes.revision
        ]

    def _merge(self, item: _Item) -> bool:
        """Merge one item and return whether observers are to get it."""
        known = self._find_known(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if known is not None and known.revision.epoch < item.revision.epoch:
            self._retain(item)
        last = self._find_last(item.key)
        is_superseded = self.retained.supersedes(item)
        was_known = self.items.pop(item.key, None) is not None
        self.removed.pop(item.key, None)
        if item.value is not None:
            self.items[item.key] = item
            return not is_superseded
        self.removed[item.key] = _Removal(item, last)
        self._discard_oldest_removed()
        return was_known and not is_superseded

    def _retain(self, item: _Item) -> None:
        """Retain what is known of a key if the newer history holds something older."""
        key = item.key
        is_removed = key in self.removed
        last = self._find_last(key)
        if last is None or (last.value == item.value and not is_removed):
            return
        retained = _Retained(last, is_removed)
        if self.retained.add(retained) and self.retained.supersedes(item):
            _retained_items.log_retained([retained], "restore")

    def _find_last(self, key: str) -> _Item | None:
        """Return the last value that is known of ``key``, also if it was removed."""
        retained = self.retained.get(key)
        if retained is not None:
            return retained.item
        removal = self.removed.get(key)
        return self.items.get(key) if removal is None else removal.last

    def _takes(self, retained: _Retained) -> bool:
        """Retain what a peer knows, if it is later than what this node does."""
        key = retained.item.key
        stored = self.items.get(key)
        if retained.is_removed and self.released_epoch == self.revision.epoch:
            return False
        if stored is None and not self.versions.outlives_removal(key):
            return False
        if not self.retained.add(retained):
            return False
        return stored is None or self.retained.supersedes(stored)

    def _make_effective(self, retained: _Retained) -> _Item:
        """Return the change that observers get for a retained item."""
        value = None if retained.is_removed else retained.item.value
        return _Item(retained.item.key, self.revision, value)

    def _discard_oldest_removed(self) -> None:
        while len(self.removed) > self.max_removed:
            oldest = self.removed.pop(next(iter(self.removed)))
            self.before_listing = None
            self.listed_at_revision = max(self.listed_at_revision, oldest.item.revision)
