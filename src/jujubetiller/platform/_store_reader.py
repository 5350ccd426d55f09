"""Reading of the platform's store."""

import base64
import json
import random
from collections.abc import Mapping
from typing import Any
from urllib import parse

import attrs
import logbook
import result
from twisted.internet import defer, interfaces

from jujubetiller import clock, http_reads, published, schema, settings
from jujubetiller.platform import _fields, _store_epoch

_LOG = logbook.Logger("jujubetiller.platform")

_OK = 200
_GONE = 410

_ENVELOPE_BYTES = 65_536

# Base64 makes values longer; a page holds about a megabyte of values.
_MAX_ANSWER_BYTES_PER_VALUE_BYTE = 3

CHANGES_PAUSE_MS = 400.0
"""Pause after a watch that returned changes. Changes often come in series, and each
watch is a request to the store; a quarter of the time in which a change must be in
force is used to receive several in one answer."""

WAIT_JITTER = 0.2
"""Keeps the watches of the nodes from ending at the same time."""


@attrs.frozen
class _StoreAnswer:
    """An answer of the store."""

    status: int | str
    """The HTTP status, or the reason for which there is none."""

    page: Any
    """The parsed body of an answer with status 200."""

    epoch: int
    """The history that the answer is from."""


class StoreReader(published.ItemSource):
    """Lists the store once, then watches it, and lists again when that is needed.

    That is the case when the store no longer has the history from the state's revision
    on, and when any answer shows that the store was restored from a copy. No listing is
    needed if peers have brought the state beyond that point.

    Listings are linearizable: a stale one may hold items that a restore has removed.
    """

    def __init__(
        self,
        reactor: Any,
        time_source: clock.Clock,
        random_source: random.Random,
        store_settings: settings.StoreSettings,
        state: published.PublishedState,
    ) -> None:
        self.reactor: interfaces.IReactorTime = reactor
        self.clock = time_source
        self.random = random_source
        self.settings = store_settings
        self.state = state
        self.reader = http_reads.HttpReader(reactor, store_settings.address)
        self.epoch_reader = _store_epoch.EpochReader()
        self.backoff = http_reads.Backoff(
            random_source, float(store_settings.longest_pause_ms)
        )
        self.is_stopped = False
        self.is_down = True
        self.unwatchable = published.Revision()
        """The store can't be watched from here or from before it: a listing is due
        while the state is not beyond it."""

        self.read_epoch = 0
        """The history that the last successful read was from."""

        self.rejected_answers = 0
        """Answers of older histories than the state's."""

        self.succeeded_at_ms: float | None = None
        self.recovered_ms = 0.0
        self.had_changes = False
        """Whether the last watch returned changes."""

        self.listings = 0
        """Listings since the last watch that succeeded."""

        self.pending_read: defer.Deferred[Any] | None = None
        self.watched_epoch: int | None = None
        """The history that the watch under way is to continue, if there is one."""

        state.observers.append(self._restart_watch)

    def start(self) -> None:
        """Start reading."""
        self._read()

    def stop(self) -> None:
        """Cancel the current read and start no other."""
        self.is_stopped = True
        if self.pending_read is not None:
            self.pending_read.cancel()

    def age_ms(self) -> float:
        """Return the time since the last successful read of the state's history.

        The result is -1 before the first one.
        """
        if self.succeeded_at_ms is None or self.read_epoch < self.state.revision.epoch:
            return -1.0
        return self.clock.now_ms() - self.succeeded_at_ms

    def recovered_at_ms(self) -> float:
        """Return when the store last answered after an outage or a restore."""
        return self.recovered_ms

    def read_counters(self) -> Mapping[str, float]:
        """Return the numbers of answers with a wrong or an older epoch."""
        return {
            "epoch_malformed": self.epoch_reader.malformed,
            "answer_of_older_history": self.rejected_answers,
        }

    def _read(self) -> None:
        if self.is_stopped:
            return
        reading = defer.Deferred.fromCoroutine(self._read_once())
        self.pending_read = reading
        reading.addBoth(self._read_next)

    def _read_next(self, failure: Any) -> None:
        self.pending_read = None
        if self.is_stopped:
            return
        if failure is None:
            has_pause = self.had_changes or self.listings > 1
            pause_ms = CHANGES_PAUSE_MS if has_pause else 0.0
            self.reactor.callLater(pause_ms / 1_000.0, self._read)
            return
        self._record_failure(failure)
        self.reactor.callLater(self.backoff.next_ms() / 1_000.0, self._read)

    async def _read_once(self) -> str | None:
        """List or watch once; return the reason of a failure, or ``None``."""
        self.had_changes = False
        try:
            if self.state.revision <= self.unwatchable:
                return await self._list()
            return await self._watch(self.state.revision)
        except (schema.FieldError, ValueError) as error:
            return f"bad answer: {error}"

    async def _list(self) -> str | None:
        items: list[published.PublishedItem] = []
        revision: published.Revision | None = None
        after = ""
        while True:
            query = {"prefix": ""}
            if after:
                query["after"] = after
            answer = await self._get("/kv-range", query, 0.0)
            if answer.status != _OK:
                return f"listing failed: {answer.status}"
            items += _translate_items(answer, "items")
            as_of = _translate_as_of(answer)
            revision = as_of if revision is None else min(revision, as_of)
            if as_of.epoch != revision.epoch:
                return "listing failed: its pages are from two histories"
            if not answer.page.get("truncated") or not items:
                break
            after = items[-1].key
        self.listings += 1
        if revision.epoch < self.unwatchable.epoch:
            _LOG.warning(
                "store history not confirmed",
                extra={"shown": self.unwatchable.epoch, "listed": str(revision)},
            )
            self.unwatchable = published.Revision(revision.epoch)
        if revision <= self.unwatchable:
            return f"listing failed: {revision} is not after {self.unwatchable}"
        self._apply(published.Changes(revision, tuple(items), True))
        return None

    async def _watch(self, after: published.Revision) -> str | None:
        wait_ms = self._draw_wait_ms(after)
        query = {"prefix": "", "after": str(after.number), "wait_ms": str(wait_ms)}
        self.watched_epoch = after.epoch
        answer = await self._get("/kv-watch", query, wait_ms)
        self.watched_epoch = None
        if self.state.revision.epoch > after.epoch:
            # Peers have brought a newer history, or this answer shows one.
            return None
        if answer.epoch > after.epoch:
            return None
        if answer.status == _GONE:
            _LOG.info("watch history expired", extra={"revision": str(after)})
            self.unwatchable = max(self.unwatchable, after)
            return None
        if answer.status != _OK:
            return f"watch failed: {answer.status}"
        events = _translate_items(answer, "events")
        self.had_changes = bool(events)
        self.listings = 0
        self.backoff.reset()
        revision = max(after, _translate_as_of(answer))
        self._apply(published.Changes(revision, events, False))
        return None

    def _draw_wait_ms(self, after: published.Revision) -> int:
        """Return how long the next watch waits; 0 in a history not read before."""
        if self.read_epoch < after.epoch:
            return 0
        jitter = 1.0 - WAIT_JITTER * self.random.random()
        return int(self.settings.watch_wait_ms * jitter)

    def _apply(self, changes: published.Changes) -> None:
        # Recorded first: removals after an outage or a restore have to wait.
        has_recovered = self._record_success(changes.revision)
        self.state.apply(changes)
        if has_recovered:
            _LOG.info("store answers", extra={"revision": str(changes.revision)})

    async def _get(
        self, path: str, query: dict[str, str], wait_ms: float
    ) -> _StoreAnswer:
        """Return the answer of the store, whose history it notes."""
        read = await self.reader.get(
            f"{path}?{parse.urlencode(query)}",
            wait_ms + self.settings.answer_timeout_ms,
            self.settings.max_value_bytes * _MAX_ANSWER_BYTES_PER_VALUE_BYTE
            + _ENVELOPE_BYTES,
        )
        if isinstance(read, result.Err):
            return _StoreAnswer(read.err_value.value, None, self.state.revision.epoch)
        answer = read.ok_value
        epoch = self.epoch_reader.read(answer.headers)
        if epoch is None:
            epoch = self.state.revision.epoch
        self._record_epoch(epoch, answer.status)
        if epoch < self.state.revision.epoch:
            self.rejected_answers += 1
            return _StoreAnswer(f"answer of the older history {epoch}", None, epoch)
        page = json.loads(answer.body) if answer.status == _OK else None
        return _StoreAnswer(answer.status, page, epoch)

    def _record_epoch(self, epoch: int, status: int) -> None:
        """Make a listing due if an answer shows a newer history than the state's.

        Only a listing, which needs answers of its own, leads to that history, so that
        one wrong header does not.
        """
        started = published.Revision(epoch)
        if epoch == self.state.revision.epoch or started == self.unwatchable:
            return
        _LOG.info(
            "store history read",
            extra={
                "store_epoch": epoch,
                "known": str(self.state.revision),
                "status": status,
            },
        )
        if epoch > self.state.revision.epoch:
            self.unwatchable = started

    def _restart_watch(self, items: list[published.PublishedItem]) -> None:
        """End the watch under way if peers have brought a newer history."""
        epoch = self.watched_epoch
        if epoch is not None and epoch < self.state.revision.epoch:
            self.watched_epoch = None
            if self.pending_read is not None:
                self.pending_read.cancel()

    def _record_success(self, revision: published.Revision) -> bool:
        """Return whether this is the first success after an outage or a restore."""
        now_ms = self.clock.now_ms()
        self.succeeded_at_ms = now_ms
        if not self.is_down and revision.epoch == self.read_epoch:
            return False
        self.is_down = False
        self.read_epoch = revision.epoch
        self.recovered_ms = now_ms
        return True

    def _record_failure(self, reason: Any) -> None:
        if not self.is_down:
            self.is_down = True
            _LOG.warning("store lost", extra={"reason": str(reason)})


def _translate_items(
    answer: _StoreAnswer, field: str
) -> tuple[published.PublishedItem, ...]:
    rows = _fields.read(answer.page, field, list)
    return tuple(_translate_item(row, answer.epoch) for row in rows)


def _translate_as_of(answer: _StoreAnswer) -> published.Revision:
    return published.Revision(answer.epoch, _fields.read_integer(answer.page, "as_of"))


def _translate_item(row: Any, epoch: int) -> published.PublishedItem:
    """Return a listed item or an event of a watch."""
    key = _fields.read_text(row, "key")
    revision = published.Revision(epoch, _fields.read_integer(row, "revision"))
    if row.get("tombstone"):
        return published.PublishedItem(key, revision, None)
    value = base64.b64decode(_fields.read(row, "value", str), validate=True)
    return published.PublishedItem(key, revision, value)
