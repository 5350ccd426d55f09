"""The HTTP client of the configuration service."""

import collections
import random
from collections.abc import Callable
from typing import Any
from urllib import parse

import result
from twisted.internet import defer, interfaces
from twisted.web import iweb

from jujubetiller import clock, http_reads, settings
from jujubetiller.platform_client import _platform_value, _watch

MAX_VERSIONS = 1_000

Answer = result.Result[_platform_value.PlatformValue, http_reads.ReadProblem]

_STATUS_PROBLEMS: dict[int, http_reads.ReadProblem] = {
    204: http_reads.ReadProblem.NOTHING_NEW,
    404: http_reads.ReadProblem.MISSING,
    429: http_reads.ReadProblem.OVER_RATE,
}


def _never_called() -> None:
    """Do nothing; stands for an absent callback."""


class PlatformClient:
    """Reads and watches values over a few persistent connections.

    ``on_fresh`` is called after each answer that shows the platform's present
    state. The newest version of each watched key is kept, so that an older one,
    from a stale replica for example, is counted and ignored.
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
        self.versions: dict[str, int] = {}
        self.fresh_at_ms: float | None = None
        self.counts: collections.Counter[str] = collections.Counter()
        """Answers by kind, ``value`` and the names of ``ReadProblem``, and
        ``older-version``."""

    def age_ms(self) -> float:
        """Return the age of the newest good answer, or -1 when there was none."""
        if self.fresh_at_ms is None:
            return -1.0
        return self.clock.now_ms() - self.fresh_at_ms

    def read(self, key: str) -> defer.Deferred[Answer]:
        """Read a value; the result never fires with a failure."""
        return self.request(f"/v1/values/{parse.quote(key)}", key)

    def watch(
        self,
        key: str,
        after: int,
        on_value: Callable[[_platform_value.PlatformValue], None],
        period_ms: Callable[[], float] | None = None,
    ) -> _watch.Watch:
        """Call ``on_value`` for each newer version until the watch is stopped.

        ``period_ms`` gives the least time from one request to the next one when
        it is above ``watch_wait_ms``.
        """
        self.versions[key] = max(after, self.versions.get(key, 0))
        return _watch.Watch(self, key, on_value, period_ms)

    def request_watch(self, key: str, after: int) -> defer.Deferred[Answer]:
        """Ask once for a version above ``after``."""
        # The jitter keeps two readers from always asking at the same times. Its
        # mean is 1, so that the reads of a fleet are those that were planned.
        jitter = 1 + _watch.WAIT_JITTER * (2 * self.random.random() - 1)
        wait_ms = int(self.settings.watch_wait_ms * jitter)
        query = f"after={after}&wait_ms={wait_ms}"
        return self.request(f"/v1/watch/{parse.quote(key)}?{query}", key)

    def accept_version(self, key: str, version: int) -> bool:
        """Return whether ``version`` is not older than one already seen."""
        seen = self.versions.get(key)
        if seen is not None and version < seen:
            self.counts["older-version"] += 1
            return False
        if seen is not None or len(self.versions) < MAX_VERSIONS:
            self.versions[key] = version
        return True

    def request(self, path: str, key: str) -> defer.Deferred[Answer]:
        """Send a GET and return its answer; one that is late is given up."""
        read = self.reader.get(
            path, self.settings.watch_silent_ms, _platform_value.MAX_BODY_BYTES
        )

        def parse(
            read_answer: result.Result[http_reads.HttpAnswer, http_reads.ReadProblem],
        ) -> Answer:
            answer = _parse_answer(read_answer, key)
            self._note(answer)
            return answer

        return read.addCallback(parse)

    def close(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return self.reader.close()

    def _note(self, answer: Answer) -> None:
        if isinstance(answer, result.Err):
            self.counts[answer.err_value.value] += 1
            if answer.err_value in _platform_value.FRESH_PROBLEMS:
                self._note_fresh()
            return
        self.counts["value"] += 1
        value = answer.ok_value
        if value.version >= self.versions.get(value.key, 0):
            self._note_fresh()

    def _note_fresh(self) -> None:
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
