"""Requests that wait for tokens."""

import collections
import functools
from collections.abc import Callable

import attrs

from jujubetiller.quotas import _token_lots, _transport

WAIT_MS = 100.0
"""Time for which a request waits for a token."""

MAX_WAITING = 1_024
"""Requests of one team that wait for tokens."""


@attrs.frozen
class Refusal:
    """Why a request got no token."""

    team: str
    retry_after_ms: float
    rate_per_s: float
    asked: float
    granted: float
    share_age_ms: float


@attrs.define(eq=False)
class Waiting:
    """A request that waits, until it is over for it."""

    admitted: Callable[[_token_lots.Token | None], None]
    refused: Callable[[Refusal], None]
    cancel_timer: Callable[[], None]
    is_over: bool = False

    def end(self) -> None:
        """Wait no more."""
        self.is_over = True
        self.cancel_timer()


class WaitingRequests:
    """The requests of each team that wait, in the order of their arrival."""

    def __init__(self, transport: _transport.Transport) -> None:
        self.transport = transport
        self.queues: dict[str, collections.deque[Waiting]] = {}

    def count(self, team: str) -> int:
        """Return the number of requests of ``team`` that wait."""
        return len(self.queues.get(team, ()))

    def add(
        self,
        team: str,
        admitted: Callable[[_token_lots.Token | None], None],
        refused: Callable[[Refusal], None],
        timed_out: Callable[[Waiting], None],
    ) -> Waiting:
        """Add a request; ``timed_out`` is called if it waits for too long."""
        waiting = Waiting(admitted, refused, _do_nothing)

        def end_wait() -> None:
            self.drop(team, waiting)
            timed_out(waiting)

        waiting.cancel_timer = self.transport.call_later(WAIT_MS, end_wait)
        self.queues.setdefault(team, collections.deque()).append(waiting)
        return waiting

    def make_drop(self, team: str, waiting: Waiting) -> Callable[[], None]:
        """Return the function that drops a request."""
        return functools.partial(self.drop, team, waiting)

    def drop(self, team: str, waiting: Waiting) -> None:
        """Remove a request."""
        waiting.end()
        queue = self.queues.get(team)
        if queue is not None and waiting in queue:
            queue.remove(waiting)
            if not queue:
                del self.queues[team]

    def pop(self, team: str) -> Waiting:
        """Remove and return the first request of a team with one that waits."""
        queue = self.queues[team]
        waiting = queue.popleft()
        if not queue:
            del self.queues[team]
        waiting.end()
        return waiting

    def pop_all(self, team: str) -> list[Waiting]:
        """Remove and return all requests of ``team``."""
        found = list(self.queues.pop(team, ()))
        for waiting in found:
            waiting.end()
        return found


def _do_nothing() -> None:
    """Do nothing, as long as there is no timer."""
