"""The interface of what observes a guard."""

from jujubetiller.limits import _guard_entry


class GuardObserver:
    """Is told what happens to the entries of a guard; does nothing by itself.

    Its methods must not submit or finish entries.
    """

    def offered(self, entry: _guard_entry.GuardEntry) -> None:
        """Note that ``entry`` was submitted."""

    def started(self, entry: _guard_entry.GuardEntry) -> None:
        """Note that ``entry`` is about to be sent to the target."""

    def ended(self, entry: _guard_entry.GuardEntry, succeeded: bool | None) -> None:
        """Note that ``entry`` left the target.

        ``succeeded`` is None if its caller cancelled it.
        """
