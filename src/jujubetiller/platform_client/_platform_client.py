"""The HTTP client of the platform's configuration service."""

import collections
import random
from collections.abc import Callable
from typing import Any
from urllib import parse

import logbook
import result
from twisted.internet import defer, interfaces
from twisted.web import iweb

from jujubetiller import clock, http_reads, published, settings
from jujubetiller.platform_client import _platform_value, _watch

MAX_VERSIONS = 1_000

_LOG = logbook.Logger("jujubetiller.platform_client")

Answer = result.Result[_platform_value.PlatformValue, http_reads.ReadProblem]

_STATUS_PROBLEMS: dict[int, http_reads.ReadProblem] = {
    204: http_reads.ReadProblem.NOTHING_NEW,
    404: http_reads.ReadProblem.MISSING,
    429: http_reads.ReadProblem.OVER_RATE,
}


def _never_called() -> None:
    """Do nothing; the default callback."""


class PlatformClient:
    """Reads and watches values over a few persistent connections.

    ``on_fresh`` is called after each answer that reflects the current state of the
    platform. The newest version of each watched key is stored, so that an older one,
    for example from a stale replica, is counted and ignored.
    """

    def __init__(
        self,
        reactor: Any,
        time_source: clock.Clock,
        platform_settings: settings.PlatformSettings,
        random_source: random.Random,
        agent: iweb.IAgent | None = None,
        on_fresh: Callable[[], None] = _never_called,
    ) -> None:
        self.reactor: interfaces.IReactorTime = reactor
        self.clock = time_source
        self.settings = platform_settings
        self.random = random_source
        self.on_fresh = on_fresh
        self.reader = http_reads.HttpReader(reactor, platform_settings.address, agent)
        self.revisions: dict[str, published.Revision] = {}
        self.fresh_at_ms: float | None = None
        self.counts: collections.Counter[str] = collections.Counter()
        """Count of answers by kind: ``value``, the values of ``ReadProblem`` and
        ``older-version``."""

    def age_ms(self) -> float:
        """Return the time since the newest fresh answer, or -1 when there was none."""
        if self.fresh_at_ms is None:
            return -1.0
        return self.clock.now_ms() - self.fresh_at_ms

    def read(self, key: str) -> defer.Deferred[Answer]:
        """Read a value; the deferred never fires with a failure."""
        return self.request(f"/v1/values/{parse.quote(key)}", key)

    def watch(
        self,
        key: str,
        after: published.Revision,
        on_value: Callable[[_platform_value.PlatformValue], None],
        period_ms: Callable[[], float] | None = None,
    ) -> _watch.Watch:
        """Call ``on_value`` for each version after ``after`` until it is stopped.

        ``period_ms`` returns the minimum time from one request to the next; it applies
        when it is above ``watch_wait_ms``.
        """
        self.revisions[key] = max(after, self.newest_revision(key))
        return _watch.Watch(self, key, on_value, period_ms)

    def newest_revision(self, key: str) -> published.Revision:
        """Return the newest revision received of ``key``."""
        return self.revisions.get(key, published.Revision())

    def request_watch(
        self, key: str, after: published.Revision
    ) -> defer.Deferred[Answer]:
        """Send one long-poll request for a version after ``after``.

        The platform answers at once if it is in a newer history.
        """
        # The jitter keeps readers from polling in step. Its mean is 1, so that the
        # total request rate of all nodes is as planned.
        jitter = 1 + _watch.WAIT_JITTER * (2 * self.random.random() - 1)
        wait_ms = int(self.settings.watch_wait_ms * jitter)
        query = f"after={after.number}&epoch={after.epoch}&wait_ms={wait_ms}"
        return self.request(f"/v1/watch/{parse.quote(key)}?{query}", key)

    def accept_revision(self, key: str, revision: published.Revision) -> bool:
        """Return whether ``revision`` is not older than the newest one received."""
        newest = self.revisions.get(key)
        if newest is not None and revision < newest:
            self.counts["older-version"] += 1
            return False
        if newest is not None and revision.epoch > newest.epoch:
            _LOG.info("platform history read", extra={"revision": str(revision)})
        if newest is not None or len(self.revisions) < MAX_VERSIONS:
            self.revisions[key] = revision
        return True

    def request(self, path: str, key: str) -> defer.Deferred[Answer]:
        """Send a GET and return its answer, or a problem after a timeout."""
        read = self.reader.get(
            path, self.settings.watch_silent_ms, _platform_value.MAX_BODY_BYTES
        )

        def parse(
            read_answer: result.Result[http_reads.HttpAnswer, http_reads.ReadProblem],
        ) -> Answer:
            answer = _parse_answer(read_answer, key)
            self._record(answer)
            return answer

        return read.addCallback(parse)

    def close(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return self.reader.close()

    def _record(self, answer: Answer) -> None:
        if isinstance(answer, result.Err):
            self.counts[answer.err_value.value] += 1
            if answer.err_value in _platform_value.FRESH_PROBLEMS:
                self._record_fresh()
            return
        self.counts["value"] += 1
        value = answer.ok_value
        if value.revision >= self.newest_revision(value.key):
            self._record_fresh()

    def _record_fresh(self) -> None:
        self.fresh_at_ms = self.clock.now_ms()
        self.on_fresh()


def _parse_answer(
    answer: result.Result[http_reads.HttpAnswer, http_reads.ReadProblem], key: str
) -> Answer:
    if isinstance(answer, result.Err):
        return answer
    if answer.ok_value.status == 200:
        return _platform_value.parse_value(answer.ok_value.body, key)
    return result.Err(
        _STATUS_PROBLEMS.get(answer.ok_value.status, http_reads.ReadProblem.BAD_ANSWER)
    )
