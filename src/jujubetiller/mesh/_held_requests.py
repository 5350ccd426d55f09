"""Requests to a node that has not finished its first read of the store."""

from collections.abc import Callable
from typing import Any

from jujubetiller import calls
from jujubetiller.mesh import _state_message

HOLD_MS = 500.0
"""Longest time for which a request is held."""

MAX_HELD = 4_096
"""Requests held at the same time; further ones are answered at once."""

Reply = Callable[[calls.CallAnswer], None]


class HeldRequests:
    """Holds state requests until there is something to answer."""

    def __init__(
        self,
        reactor: Any,
        answer: Callable[[_state_message.StateRequest], calls.CallAnswer],
    ) -> None:
        self.reactor = reactor
        self.answer = answer
        self.held: list[tuple[_state_message.StateRequest, Reply]] = []
        self.timer: Any = None
        self.refused = 0
        """Requests that were answered at once because too many were held."""

    def add(self, request: _state_message.StateRequest, reply: Reply) -> None:
        """Hold a request for ``HOLD_MS`` at the longest."""
        if len(self.held) >= MAX_HELD:
            self.refused += 1
            reply(self.answer(request))
            return
        self.held.append((request, reply))
        if self.timer is None:
            self.timer = self.reactor.callLater(HOLD_MS / 1000.0, self._expire)

    def release(self) -> None:
        """Answer all requests."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        held, self.held = self.held, []
        for request, reply in held:
            reply(self.answer(request))

    def _expire(self) -> None:
        self.timer = None
        self.release()
