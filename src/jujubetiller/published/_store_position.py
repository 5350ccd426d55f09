"""Where a reader of the store continues."""

import logbook

from jujubetiller.published import _published_state, _revision

_LOG = logbook.Logger("jujubetiller.published")


class StorePosition:
    """Decides whether the next read lists or watches the store, across its restores.

    A listing is due at the start, when the store no longer has the history from the
    state's revision on, and when any answer shows that the store was restored from a
    copy. None is due if peers have brought the state beyond that point.
    """

    def __init__(self, state: _published_state.PublishedState) -> None:
        self.state = state
        self.unwatchable = _revision.Revision()
        """The store can't be watched from here or from before it."""

        self.read_epoch = 0
        """The history that the last successful read was from."""

        self.rejected_answers = 0
        """Answers of older histories than the state's."""

        self.listings = 0
        """Listings since the last watch that succeeded."""

    def is_listing_due(self) -> bool:
        """Return whether the next read has to list the store."""
        return self.state.revision <= self.unwatchable

    def is_current(self) -> bool:
        """Return whether the last successful read was from the state's history."""
        return self.read_epoch >= self.state.revision.epoch

    def record_answer(self, epoch: int | None, status: int) -> int:
        """Return the history that an answer is from; ``epoch`` is the one it names.

        An answer that names none is taken to be of the state's history. One that names
        a newer history makes a listing due; only the listing, which needs answers of
        its own, leads to that history, so that one wrong answer does not.
        """
        known = self.state.revision.epoch
        if epoch is None or epoch == known:
            return known
        started = _revision.Revision(epoch)
        if started != self.unwatchable:
            _LOG.info(
                "store history read",
                extra={
                    "store_epoch": epoch,
                    "known": str(self.state.revision),
                    "status": status,
                },
            )
        if epoch > known:
            self.unwatchable = started
        else:
            self.rejected_answers += 1
        return epoch

    def record_expired(self, revision: _revision.Revision) -> None:
        """Record that the store has no history from ``revision`` on."""
        _LOG.info("watch history expired", extra={"revision": str(revision)})
        self.unwatchable = max(self.unwatchable, revision)

    def accept_listing(self, revision: _revision.Revision) -> bool:
        """Return whether a whole listing as of ``revision`` can be applied."""
        self.listings += 1
        if revision.epoch < self.unwatchable.epoch:
            _LOG.warning(
                "store history not confirmed",
                extra={"shown": self.unwatchable.epoch, "listed": str(revision)},
            )
            self.unwatchable = _revision.Revision(revision.epoch)
        return revision > self.unwatchable

    def record_watch(self) -> None:
        """Record that a watch succeeded."""
        self.listings = 0

    def repeats_listings(self) -> bool:
        """Return whether listings do not lead to a watch, so that a pause is due."""
        return self.listings > 1
