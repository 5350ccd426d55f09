"""One request in progress at the target."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from jujubetiller import codes
from jujubetiller.target import _target_request, _target_response

if TYPE_CHECKING:
    from twisted.internet import interfaces

    from jujubetiller.target import _target_connection


def _ignore(response: _target_response.TargetResponse) -> None:
    """Replace a dropped ``on_end``."""


class TargetCall:
    """A request to the target that has not ended yet.

    ``on_end`` is called exactly once, unless the call is cancelled.
    """

    __slots__ = ("connection", "ended", "on_end", "request", "sent_at_ms", "timer")

    def __init__(
        self,
        request: _target_request.TargetRequest,
        on_end: Callable[[_target_response.TargetResponse], None],
    ) -> None:
        self.request = request
        self.on_end = on_end
        self.connection: _target_connection.TargetConnection | None = None
        self.timer: interfaces.IDelayedCall | None = None
        self.sent_at_ms = 0.0
        self.ended = False

    def end(self, response: _target_response.TargetResponse) -> None:
        """Report ``response`` and stop the timer; further calls have no effect."""
        if self.ended:
            return
        on_end = self.on_end
        self.stop()
        on_end(response)

    def fail(self, code: codes.ResultCode) -> None:
        """Report that the request ended without a complete response."""
        self.end(_target_response.TargetResponse(code))

    def cancel(self) -> None:
        """Cancel the request by closing its connection, without calling ``on_end``."""
        if self.ended:
            return
        self.stop()
        if self.connection is not None:
            self.connection.abandon()

    def stop(self) -> None:
        """Mark the call as ended and stop its timer.

        The timer and ``on_end`` are dropped, as they refer to this call and its owner.
        """
        self.ended = True
        self.on_end = _ignore
        timer, self.timer = self.timer, None
        if timer is not None and timer.active():
            timer.cancel()
