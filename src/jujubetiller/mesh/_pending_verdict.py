"""The verdict of a check that answers later."""

from collections.abc import Callable

from jujubetiller import edge
from jujubetiller.mesh import _entry_request


class PendingVerdict:
    """The verdict of a check that answers later.

    The check calls ``resolve``, with None to admit the request. The first call counts.
    ``cancel`` is called if the client goes away before.
    """

    def __init__(self, cancel: Callable[[], None] = edge.do_nothing) -> None:
        self.cancel = cancel
        self.is_resolved = False
        self.refusal: _entry_request.EntryRefusal | None = None
        self.on_resolved: (
            Callable[[_entry_request.EntryRefusal | None], None] | None
        ) = None

    def resolve(self, refusal: _entry_request.EntryRefusal | None) -> None:
        """Continue with the next check, or refuse the request."""
        if self.is_resolved:
            return
        self.is_resolved = True
        self.refusal = refusal
        on_resolved, self.on_resolved = self.on_resolved, None
        if on_resolved is not None:
            on_resolved(refusal)

    def when_resolved(
        self, on_resolved: Callable[[_entry_request.EntryRefusal | None], None]
    ) -> None:
        """Call ``on_resolved`` once with the verdict, at once if it is known."""
        if self.is_resolved:
            on_resolved(self.refusal)
        else:
            self.on_resolved = on_resolved
