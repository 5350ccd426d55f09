"""The callbacks of a call that is either started or refused."""

from collections.abc import Callable

from jujubetiller import codes


def _do_nothing() -> None:
    """Replace a dropped ``start``."""


def _ignore(code: codes.ResultCode) -> None:
    """Replace a dropped ``refuse``."""


class StartOrRefuse:
    """Base class of calls for which either ``start`` or ``refuse`` is called, once.

    Both are mostly methods of the object that holds the call. They are dropped when one
    of them is called, so that no reference cycle keeps the request in memory until
    the next run of the garbage collector.
    """

    __slots__ = ()

    start: Callable[[], None]
    refuse: Callable[[codes.ResultCode], None]

    def call_start(self) -> None:
        """Call ``start``."""
        start = self.start
        self.drop_callbacks()
        start()

    def call_refuse(self, code: codes.ResultCode) -> None:
        """Call ``refuse`` with ``code``."""
        refuse = self.refuse
        self.drop_callbacks()
        refuse(code)

    def drop_callbacks(self) -> None:
        """Let neither be called from now on."""
        self.start = _do_nothing
        self.refuse = _ignore
