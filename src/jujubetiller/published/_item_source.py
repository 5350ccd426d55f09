"""The interface of sources of published items."""

import abc
from collections.abc import Callable, Mapping

from jujubetiller.published import _published_item, _revision, _state_age


def _do_nothing() -> None:
    """Do nothing; the default callback."""


class ItemSource(abc.ABC):
    """Reads published items into a ``PublishedState`` while it is started."""

    on_read_end: Callable[[], None] = staticmethod(_do_nothing)
    """Called after each read, whether it succeeded or failed."""

    is_primary: bool = False

    state_age: _state_age.StateAge | None = None
    proof_interval_ms: int | None = None

    @abc.abstractmethod
    def start(self) -> None:
        """Start reading; no effect if that is done already."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop reading; ``start`` may be called again."""

    def set_primary(self, is_primary: bool) -> None:
        """Set whether this source has to notice soon that its connection is silent.

        The others of its zone rely on it for that.
        """
        self.is_primary = is_primary

    def set_state_age(self, state_age: _state_age.StateAge) -> None:
        """Set where to record as of when reads have proven the state of the store."""
        self.state_age = state_age

    def set_proof_interval(self, interval_ms: int | None) -> None:
        """Set the longest time between two proofs, None if they are not asked for.

        Sources that do not read the store have no use for it.
        """
        self.proof_interval_ms = interval_ms

    def peek(
        self,
        on_items: Callable[[tuple[_published_item.PublishedItem, ...]], None],
    ) -> None:
        """Read some items, which may be old ones, without applying them.

        ``on_items`` is called once, in a later reactor turn or at once, with no items
        if the read fails. The default reads nothing.
        """
        on_items(())

    def is_current(self) -> bool:
        """Return whether the source reads, and its last read succeeded."""
        return self.age_ms() >= 0

    @abc.abstractmethod
    def age_ms(self) -> float:
        """Return the time since the last successful read, or -1 before the first."""

    def read_revision(self) -> _revision.Revision:
        """Return the revision that the source has itself read up to.

        The state may hold later changes of peers. By default, it is the source of all.
        """
        return _revision.Revision(_revision.MAX_NUMBER, _revision.MAX_NUMBER)

    def read_counters(self) -> Mapping[str, float]:
        """Return the numbers of answers that the source rejected, by reason."""
        return {}

    @abc.abstractmethod
    def recovered_at_ms(self) -> float:
        """Return when the source last answered after an outage.

        The first answer after the start counts as such.
        """
