"""A watch of one key by repeated long polls."""

import typing
from collections.abc import Callable

import result
from twisted.internet import defer, interfaces

from jujubetiller import http_reads
from jujubetiller.platform_client import _platform_value

if typing.TYPE_CHECKING:
    from jujubetiller.platform_client import _platform_client

WAIT_JITTER = 0.1

MIN_PERIOD_MS = 50.0
"""Limits the request rate when the value changes constantly."""


class Watch:
    """Polls for newer versions of a key until it is stopped."""

    def __init__(
        self,
        platform: "_platform_client.PlatformClient",
        key: str,
        on_value: Callable[[_platform_value.PlatformValue], None],
        period_ms: Callable[[], float] | None = None,
    ) -> None:
        self.platform = platform
        self.key = key
        self.on_value = on_value
        self.period_ms = period_ms
        self.backoff = http_reads.Backoff(platform.random)
        self.is_stopped = False
        self.polled_at_ms = 0.0
        self.waiting: defer.Deferred[object] | None = None
        self.timer: interfaces.IDelayedCall | None = None
        self._poll()

    def stop(self) -> None:
        """Stop the watch; ``on_value`` is not called any more."""
        self.is_stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.waiting is not None:
            self.waiting.cancel()

    def _poll(self) -> None:
        self.polled_at_ms = self.platform.clock.now_ms()
        after = self.platform.newest_revision(self.key)
        pending = self.platform.request_watch(self.key, after)
        self.waiting = pending  # type: ignore[assignment]
        pending.addBoth(self._receive)

    def _receive(self, answer: object) -> None:
        self.waiting = None
        if self.is_stopped:
            return
        is_new = False
        delay_ms: float | None = None
        if isinstance(answer, result.Ok):
            newest = self.platform.newest_revision(self.key)
            revision = answer.ok_value.revision
            is_new = (
                self.platform.accept_revision(self.key, revision) and revision > newest
            )
        elif not (
            isinstance(answer, result.Err)
            and answer.err_value is http_reads.ReadProblem.NOTHING_NEW
        ):
            delay_ms = self.backoff.next_ms()
        if delay_ms is None:
            self.backoff.reset()
            delay_ms = self._pause_ms(is_new)
        self.timer = self.platform.reactor.callLater(delay_ms / 1_000, self._poll)
        if is_new and isinstance(answer, result.Ok):
            self.on_value(answer.ok_value)

    def _pause_ms(self, is_new: bool) -> float:
        """Return the pause before the next poll after a good answer.

        The service normally holds a request until there is a newer version or the
        wait time ends. A service that answers immediately without a newer version must
        not be polled more often because of that.
        """
        wait_ms = float(self.platform.settings.watch_wait_ms)
        period_ms = wait_ms if self.period_ms is None else self.period_ms()
        if period_ms <= wait_ms:
            period_ms = MIN_PERIOD_MS if is_new else wait_ms * (1 - WAIT_JITTER)
        return max(0.0, self.polled_at_ms + period_ms - self.platform.clock.now_ms())
