"""Reading of the platform's store."""

import json
import random
from collections.abc import Callable, Mapping
from typing import Any
from urllib import parse

import logbook
import result
from twisted.internet import defer, interfaces

from jujubetiller import clock, http_reads, published, schema, settings
from jujubetiller.platform import _listing, _stale_page, _store_answer, _store_epoch

_LOG = logbook.Logger("jujubetiller.platform")


class StoreReader(published.ItemSource):
    """Lists the store, then watches it, as ``published.StorePosition`` decides.

    ``published.StoreFreshness`` times the watches and tracks whether the store answers.
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
        self.position = published.StorePosition(state)
        self.freshness = published.StoreFreshness(
            time_source, random_source, store_settings
        )
        self.reader = http_reads.HttpReader(reactor, store_settings.address)
        self.epoch_reader = _store_epoch.EpochReader()
        self.backoff = http_reads.Backoff(
            random_source, float(store_settings.longest_pause_ms)
        )
        self.is_stopped = True
        self.run = 0
        """Number of times that reading was stopped."""

        self.next_read: interfaces.IDelayedCall | None = None
        self.last_read = published.Revision()
        """The revision of the last successful read."""

        self.had_changes = False
        """Whether the last watch returned changes."""

        self.lags_behind = False
        """Whether the last watch was answered by a server that lags behind."""

        self.short_answers = 0
        """Answers to watches that left out changes."""

        self.bad_answers = 0
        """Answers that could not be decoded or applied."""

        self.bad_rows = 0
        """Items and events that could not be read."""

        self.pending_read: defer.Deferred[Any] | None = None
        self.watched_epoch: int | None = None
        """The history that the watch under way is to continue, if there is one."""

        self.is_watch_replaced = False
        """Whether the latest watch was cancelled in order to start another one."""

        state.observers.append(self._restart_watch)

    def start(self) -> None:
        """Start reading; no effect if that is done already.

        The first success counts as the end of an outage, as the store may have been
        down since the last read.
        """
        if not self.is_stopped:
            return
        self.is_stopped = False
        self.freshness.start()
        self._read()

    def stop(self) -> None:
        """Cancel the current read and start no other."""
        self.is_stopped = True
        self.run += 1
        self.freshness.start()
        if self.next_read is not None:
            self.next_read.cancel()
            self.next_read = None
        if self.pending_read is not None:
            self.pending_read.cancel()

    def set_state_age(self, state_age: published.StateAge) -> None:
        """Record in ``state_age`` what reads prove."""
        super().set_state_age(state_age)
        self.freshness.proofs.state_age = state_age

    def set_proof_interval(self, interval_ms: int | None) -> None:
        """Change how often proofs are due, if this is the primary reader."""
        super().set_proof_interval(interval_ms)
        self.freshness.proofs.interval_ms = interval_ms

    def set_primary(self, is_primary: bool) -> None:
        """Set whether the zone relies on this reader to notice silent connections.

        A watch that waits too long for that is replaced.
        """
        super().set_primary(is_primary)
        self.freshness.is_primary = is_primary
        if self.watched_epoch is not None and self.freshness.waits_too_long():
            self._replace_watch()

    def peek(
        self, on_items: Callable[[tuple[published.PublishedItem, ...]], None]
    ) -> None:
        """Read a page of instances; a stale read costs the store least."""
        reading = defer.Deferred.fromCoroutine(
            _stale_page.read_stale_page(self.reader, self.settings)
        )
        reading.addCallback(on_items)

    def is_current(self) -> bool:
        """Return whether the last read succeeded and the present one is not overdue."""
        if self.is_stopped or self.freshness.is_down or self.age_ms() < 0:
            return False
        return not self.freshness.is_overdue()

    def age_ms(self) -> float:
        """Return the time since the last successful read of the state's history.

        The result is -1 before the first one.
        """
        if not self.position.is_current():
            return -1.0
        return self.freshness.age_ms()

    def read_revision(self) -> published.Revision:
        """Return the revision that this node has itself read up to."""
        return self.last_read

    def recovered_at_ms(self) -> float:
        """Return when the store last answered after an outage or a restore."""
        return self.freshness.recovered_at_ms

    def read_counters(self) -> Mapping[str, float]:
        """Return the numbers of answers that were not applied, by reason."""
        return {
            "answer_malformed": self.bad_answers,
            "answer_short": self.short_answers,
            "item_malformed": self.bad_rows,
            "epoch_malformed": self.epoch_reader.malformed,
            "answer_of_older_history": self.position.rejected_answers,
            "watch_silent": self.freshness.silent_watches,
        }

    def _read(self) -> None:
        self.next_read = None
        reading = defer.Deferred.fromCoroutine(self._read_once())
        self.pending_read = reading
        reading.addBoth(self._read_next, self.run)

    def _read_next(self, problem: Any, run: int) -> None:
        if run != self.run:
            return
        self.pending_read = None
        if problem is None:
            pause_ms = self._draw_pause_ms()
        else:
            self.freshness.record_failure(str(problem))
            pause_ms = self.freshness.proofs.limit_retry_ms(self.backoff.next_ms())
        self.next_read = self.reactor.callLater(pause_ms / 1_000.0, self._read)
        if not self.is_watch_replaced:
            self.on_read_end()

    def _draw_pause_ms(self) -> float:
        """Return the pause after a read that did not fail."""
        # A proof may be due, which repeated listings or a server that lags behind are
        # unlikely to bring.
        brings_no_proof = self.position.repeats_listings() or self.lags_behind
        if not (self.had_changes or brings_no_proof):
            return 0.0
        return self.freshness.draw_pause_ms(brings_no_proof)

    async def _read_once(self) -> str | None:
        """List or watch once; return the reason of a failure, or ``None``."""
        self.had_changes = False
        self.lags_behind = False
        self.is_watch_replaced = False
        try:
            if self.position.is_listing_due():
                return await self._list()
            return await self._watch(self.state.revision)
        except (schema.FieldError, ValueError, RecursionError) as error:
            self.bad_answers += 1
            _LOG.error("store answer not applied", extra={"reason": str(error)})
            return f"bad answer: {error}"

    async def _list(self) -> str | None:
        started_ms = self.freshness.proofs.now_ms()
        listing = _listing.Listing()
        while not listing.is_whole:
            answer = await self._get(
                "/kv-range", listing.query, self.settings.answer_timeout_ms
            )
            problem = listing.add(answer)
            if problem is not None:
                return f"listing failed: {problem}"
        self.bad_rows += listing.bad_rows
        if not self.position.accept_listing(listing.revision):
            return f"listing failed: {listing.revision} can't be watched"
        self._apply(published.Changes(listing.revision, tuple(listing.items), True))
        self.freshness.proofs.record_read(started_ms)
        return None

    async def _watch(self, after: published.Revision) -> str | None:
        started_ms = self.freshness.proofs.now_ms()
        wait_ms = self.freshness.start_watch(self.position.is_current())
        query = {"prefix": "", "after": str(after.number), "wait_ms": str(wait_ms)}
        self.watched_epoch = after.epoch
        timeout_ms = self.freshness.timeout_ms(wait_ms)
        answer = await self._get("/kv-watch", query, timeout_ms)
        self.watched_epoch = None
        newest_epoch = max(self.state.revision.epoch, answer.epoch)
        if self.is_watch_replaced or newest_epoch > after.epoch:
            # Another watch is due, or this answer or peers show a newer history.
            return None
        if wait_ms and answer.status == http_reads.ReadProblem.SILENT.value:
            self.freshness.record_silence(wait_ms)
            return None
        if answer.status == _store_answer.GONE:
            self.position.record_expired(after)
            return None
        if answer.status != _store_answer.OK:
            return f"watch failed: {answer.status}"
        rows = answer.read_items("events")
        self.bad_rows += rows.log_problems()
        events = rows.items
        self.had_changes = bool(events)
        self.position.record_watch()
        self.backoff.reset()
        as_of = answer.read_revision()
        if rows.lacks_changes(after, as_of):
            # Only a listing shows what is missing.
            self.short_answers += 1
            self.position.record_expired(after)
            return None
        self._apply(published.Changes(max(after, as_of), events, False))
        self.lags_behind = as_of < after
        if not self.lags_behind:
            self.freshness.proofs.record_read(
                started_ms, 0.0 if rows.has_any() else wait_ms
            )
        return None

    def _apply(self, changes: published.Changes) -> None:
        # Recorded first: removals after an outage or a restore have to wait.
        is_new_history = changes.revision.epoch != self.position.read_epoch
        self.position.read_epoch = changes.revision.epoch
        has_recovered = self.freshness.record_success(is_new_history)
        self.last_read = changes.revision
        self.state.apply(changes)
        if has_recovered:
            _LOG.info("store answers", extra={"revision": str(changes.revision)})

    async def _get(
        self, path: str, query: dict[str, str], timeout_ms: float
    ) -> _store_answer.StoreAnswer:
        """Return the answer of the store, whose history is recorded."""
        known_epoch = self.state.revision.epoch
        read = await self.reader.get(
            f"{path}?{parse.urlencode(query)}",
            timeout_ms,
            _stale_page.find_max_answer_bytes(self.settings),
        )
        if isinstance(read, result.Err):
            return _store_answer.StoreAnswer(read.err_value.value, None, known_epoch)
        answer = read.ok_value
        named_epoch = self.epoch_reader.read(answer.headers)
        epoch = self.position.record_answer(named_epoch, answer.status)
        if epoch < self.state.revision.epoch:
            reason = f"answer of the older history {epoch}"
            return _store_answer.StoreAnswer(reason, None, epoch)
        is_ok = answer.status == _store_answer.OK
        page = json.loads(answer.body) if is_ok else None
        return _store_answer.StoreAnswer(answer.status, page, epoch)

    def _restart_watch(self, items: list[published.PublishedItem]) -> None:
        """End the watch under way if peers have brought a newer history."""
        epoch = self.watched_epoch
        if epoch is not None and epoch < self.state.revision.epoch:
            self._replace_watch()

    def _replace_watch(self) -> None:
        """Cancel the watch under way; the next one starts at once."""
        self.watched_epoch = None
        self.is_watch_replaced = True
        if self.pending_read is not None:
            self.pending_read.cancel()
