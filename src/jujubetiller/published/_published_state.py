"""The published items that a node knows."""

from collections.abc import Callable

import logbook

from jujubetiller.published import _changes, _published_item, _revision

_Item = _published_item.PublishedItem

_LOG = logbook.Logger("jujubetiller.published")

MAX_LOGGED_KEYS = 8

MAX_REMOVED = 4_096
"""Removals kept for readers that lag behind; a reader that lacks older ones needs a
listing."""


class PublishedState:
    """Merges items of the store and of peers; the higher revision of a key wins.

    No change up to ``revision`` is missing. Observers get the items that changed,
    in the order of their revisions.

    Items of a newer history of the store replace those of older ones, also where
    their numbers are lower. Only a listing leads to a newer history, as it tells which
    keys the restored store lacks.
    """

    def __init__(self, max_removed: int = MAX_REMOVED) -> None:
        self.max_removed = max_removed
        self.items: dict[str, _Item] = {}
        self.removed: dict[str, _Item] = {}
        self.revision = _revision.Revision()
        self.listed_at_revision = _revision.Revision()
        """Removals up to this revision may be missing."""

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
            raise ValueError("a newer history must begin with a listing")
        items = list(changes.items)
        if changes.is_listing:
            items += self._find_missing(changes)
        self._record_ignored(items)
        changed = [item for item in items if self._merge(item)]
        if changes.is_listing and changes.revision > self.revision:
            self.listed_at_revision = changes.revision
        self.revision = max(self.revision, changes.revision)
        if changed:
            changed.sort(key=lambda item: item.revision)
            for observer in self.observers:
                self._notify(observer, changed)

    def can_apply(self, changes: _changes.Changes) -> bool:
        """Return whether ``changes`` leave no gap: a newer history needs a listing."""
        return changes.is_listing or changes.revision.epoch <= self.revision.epoch

    def changes_since(self, revision: _revision.Revision) -> _changes.Changes:
        """Return the changes that a reader which has those up to ``revision`` lacks."""
        is_listing = revision < self.listed_at_revision
        if is_listing:
            items = list(self.items.values())
        else:
            known = (*self.items.values(), *self.removed.values())
            items = [item for item in known if item.revision > revision]
        return _changes.Changes(self.revision, tuple(items), is_listing)

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

    def _is_older(self, item: _Item) -> bool:
        known = self.items.get(item.key) or self.removed.get(item.key)
        return known is not None and known.revision > item.revision

    def _find_missing(self, changes: _changes.Changes) -> list[_Item]:
        listed = {item.key for item in changes.items}
        return [
            _Item(key, changes.revision, None)
            for key, item in self.items.items()
            if key not in listed and item.revision <= changes.revision
        ]

    def _merge(self, item: _Item) -> bool:
        known = self.items.get(item.key) or self.removed.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if item.value is not None:
            self.items[item.key] = item
            self.removed.pop(item.key, None)
            return True
        was_known = self.items.pop(item.key, None) is not None
        self.removed.pop(item.key, None)
        self.removed[item.key] = item
        self._discard_oldest_removed()
        return was_known

    def _discard_oldest_removed(self) -> None:
        while len(self.removed) > self.max_removed:
            oldest = self.removed.pop(next(iter(self.removed)))
            self.listed_at_revision = max(self.listed_at_revision, oldest.revision)
