"""Reads the tickets that the ticket index lists."""

from collections.abc import Callable, Mapping
from typing import Any

import logbook
import result
from twisted.internet import interfaces

from jujubetiller import http_reads, published, tickets
from jujubetiller.platform_client import (
    _platform_client,
    _platform_value,
    _watch,
)

INDEX_KEY = "tickets/index"

MAX_FETCHES = 4
"""Limit on tickets that are fetched concurrently."""

MAX_FINISHED = 10_000

_LOG = logbook.Logger("jujubetiller.platform_client")


def _no_delay() -> float:
    return 0.0


class TicketReader:
    """Watches the ticket index, fetches missing tickets and passes valid ones on.

    An invalid ticket is counted, logged and skipped; the ticket state keeps its last
    valid content.
    """

    def __init__(
        self,
        platform: _platform_client.PlatformClient,
        ticket_state: tickets.TicketState,
        on_ticket: Callable[[tickets.Ticket], None],
        period_ms: Callable[[], float] | None = None,
        fetch_delay_ms: Callable[[], float] = _no_delay,
    ) -> None:
        self.platform = platform
        self.ticket_state = ticket_state
        self.on_ticket = on_ticket
        self.period_ms = period_ms
        self.fetch_delay_ms = fetch_delay_ms
        self.objects: dict[str, int] = {}
        """The newest valid index: for each object, the last ticket that changed it."""
        self.index_revision = published.Revision()
        self.fetching: set[int] = set()
        self.finished: dict[int, None] = {}
        """Numbers of tickets that were read. They are not fetched again, because a
        published ticket never changes."""
        self.backoff = http_reads.Backoff(platform.random)
        self.watch: _watch.Watch | None = None
        self.timer: interfaces.IDelayedCall | None = None
        self.bad_index_count = 0
        self.bad_ticket_count = 0

    @property
    def is_running(self) -> bool:
        """Whether the reader watches the index."""
        return self.watch is not None

    def start(self) -> None:
        """Start to watch the index; no effect when the reader is running."""
        if self.watch is None:
            self.watch = self.platform.watch(
                INDEX_KEY, self.index_revision, self._receive_index, self.period_ms
            )
            # An index received before a stop may list tickets not fetched yet.
            self._fetch_after(0.0)

    def stop(self) -> None:
        """Stop watching; fetches in progress still complete."""
        if self.watch is not None:
            self.watch.stop()
            self.watch = None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _receive_index(self, value: _platform_value.PlatformValue) -> None:
        index = value.value
        objects = index.get("objects") if isinstance(index, Mapping) else None
        if not isinstance(objects, Mapping) or not all(
            type(number) is int and number > 0 for number in objects.values()
        ):
            self.bad_index_count += 1
            _LOG.error(
                "{} version {}: objects must map names to ticket numbers",
                INDEX_KEY,
                value.version,
            )
            return
        self.index_revision = value.revision
        self.objects = dict(objects)
        self._fetch_after(self.fetch_delay_ms())

    def _fetch_after(self, delay_ms: float) -> None:
        if self.timer is not None and self.timer.active():
            return
        self.timer = self.platform.reactor.callLater(delay_ms / 1_000, self._fetch)

    def _fetch(self) -> None:
        if self.watch is None:
            return
        for number in self.ticket_state.missing_numbers(self.objects):
            if len(self.fetching) >= MAX_FETCHES:
                return
            if number not in self.fetching and number not in self.finished:
                self.fetching.add(number)
                read = self.platform.read(f"tickets/{number}")
                read.addCallback(self._receive_ticket, number)
                read.addErrback(self._log_failure, number)

    def _receive_ticket(self, answer: _platform_client.Answer, number: int) -> None:
        self.fetching.discard(number)
        if isinstance(answer, result.Err):
            self._fetch_after(self.backoff.next_ms())
            return
        self.backoff.reset()
        self._finish(number)
        parsed = tickets.parse_ticket(answer.ok_value.value)
        problem = ""
        if isinstance(parsed, result.Err):
            problem = str(parsed.err_value)
        elif parsed.ok_value.number != number:
            problem = f"number: allowed is {number}, got {parsed.ok_value.number}"
        if problem:
            self.bad_ticket_count += 1
            _LOG.error("ticket {} was skipped: {}", number, problem)
        elif isinstance(parsed, result.Ok):
            self.on_ticket(parsed.ok_value)
        self._fetch_after(0.0)

    def _log_failure(self, reason: Any, number: int) -> None:
        self.fetching.discard(number)
        _LOG.error(
            "ticket {} could not be processed: {}", number, reason.getErrorMessage()
        )

    def _finish(self, number: int) -> None:
        self.finished[number] = None
        if len(self.finished) > MAX_FINISHED:
            del self.finished[next(iter(self.finished))]
