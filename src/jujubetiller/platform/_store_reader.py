"""Reading of the platform's store."""

import base64
import json
import random
from typing import Any
from urllib import parse

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


class StoreReader(published.ItemSource):
    """Lists the store once, then watches it, and lists again if the history expired.

    The first listing may be stale, which costs the store less: the watch that
    follows returns the changes that it lacks.
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
        self.epoch: int | None = None
        """The history that the last answer was from."""

        self.backoff = http_reads.Backoff(
            random_source, float(store_settings.longest_pause_ms)
        )
        self.is_stopped = False
        self.is_down = True
        self.may_be_stale = True
        self.watched_revision: int | None = None
        """Where the watch continues; ``None`` when a listing is due."""

        self.succeeded_at_ms: float | None = None
        self.recovered_ms = 0.0
        self.had_changes = False
        """Whether the last watch returned changes."""

        self.pending_read: defer.Deferred[Any] | None = None

    def start(self) -> None:
        """Start reading."""
        self._read()

    def stop(self) -> None:
        """Cancel the current read and start no other."""
        self.is_stopped = True
        if self.pending_read is not None:
            self.pending_read.cancel()

    def age_ms(self) -> float:
        """Return the time since the last successful read, or -1 before the first."""
        if self.succeeded_at_ms is None:
            return -1.0
        return self.clock.now_ms() - self.succeeded_at_ms

    def recovered_at_ms(self) -> float:
        """Return when the store last answered after an outage."""
        return self.recovered_ms

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
            self._record_success()
            pause_ms = CHANGES_PAUSE_MS if self.had_changes else 0.0
            self.reactor.callLater(pause_ms / 1_000.0, self._read)
            return
        self._record_failure(failure)
        self.reactor.callLater(self.backoff.next_ms() / 1_000.0, self._read)

    async def _read_once(self) -> str | None:
        """List or watch once; return the reason of a failure, or ``None``."""
        try:
            if self.watched_revision is None:
                return await self._list()
            return await self._watch(self.watched_revision)
        except (schema.FieldError, ValueError) as error:
            return f"bad answer: {error}"

    async def _list(self) -> str | None:
        items: list[published.PublishedItem] = []
        revision: int | None = None
        after = ""
        while True:
            query = {"prefix": ""}
            if after:
                query["after"] = after
            if self.may_be_stale:
                query["serializable"] = "1"
            status, page = await self._get("/kv-range", query, 0.0)
            if status != _OK:
                return f"listing failed: {status}"
            items += map(_translate_item, _fields.read(page, "items", list))
            as_of = _fields.read_integer(page, "as_of")
            revision = as_of if revision is None else min(revision, as_of)
            if not page.get("truncated") or not items:
                break
            after = items[-1].key
        self.watched_revision = revision
        self.state.apply(published.Changes(revision, tuple(items), True))
        return None

    async def _watch(self, after: int) -> str | None:
        jitter = 1.0 - WAIT_JITTER * self.random.random()
        wait_ms = int(self.settings.watch_wait_ms * jitter)
        query = {"prefix": "", "after": str(after), "wait_ms": str(wait_ms)}
        status, page = await self._get("/kv-watch", query, wait_ms)
        if status == _GONE:
            _LOG.info("watch history expired", extra={"revision": after})
            self.watched_revision = None
            self.may_be_stale = False
            return None
        if status != _OK:
            return f"watch failed: {status}"
        events = tuple(map(_translate_item, _fields.read(page, "events", list)))
        revision = _fields.read_integer(page, "as_of")
        self.watched_revision = max(after, revision)
        self.had_changes = bool(events)
        self.state.apply(published.Changes(self.watched_revision, events, False))
        return None

    async def _get(
        self, path: str, query: dict[str, str], wait_ms: float
    ) -> tuple[int | str, Any]:
        """Return the status or the reason of a failure, and the parsed body."""
        answer = await self.reader.get(
            f"{path}?{parse.urlencode(query)}",
            wait_ms + self.settings.answer_timeout_ms,
            self.settings.max_value_bytes * _MAX_ANSWER_BYTES_PER_VALUE_BYTE
            + _ENVELOPE_BYTES,
        )
        if isinstance(answer, result.Err):
            return answer.err_value.value, None
        self._record_epoch(answer.ok_value)
        if answer.ok_value.status != _OK:
            return answer.ok_value.status, None
        return _OK, json.loads(answer.ok_value.body)

    def _record_epoch(self, answer: http_reads.HttpAnswer) -> None:
        epoch = self.epoch_reader.read(answer.headers)
        if epoch is None or epoch == self.epoch:
            return
        _LOG.info(
            "store history read",
            extra={"store_epoch": epoch, "before": self.epoch, "status": answer.status},
        )
        self.epoch = epoch

    def _record_success(self) -> None:
        now_ms = self.clock.now_ms()
        self.succeeded_at_ms = now_ms
        self.backoff.reset()
        if self.is_down:
            self.is_down = False
            self.recovered_ms = now_ms
            _LOG.info("store answers", extra={"revision": self.state.revision})

    def _record_failure(self, reason: Any) -> None:
        if not self.is_down:
            self.is_down = True
            _LOG.warning("store lost", extra={"reason": str(reason)})


def _translate_item(row: Any) -> published.PublishedItem:
    """Return a listed item or an event of a watch."""
    key = _fields.read_text(row, "key")
    revision = _fields.read_integer(row, "revision")
    if row.get("tombstone"):
        return published.PublishedItem(key, revision, None)
    value = base64.b64decode(_fields.read(row, "value", str), validate=True)
    return published.PublishedItem(key, revision, value)
