"""The budget for second attempts."""

import attrs

from jujubetiller import clock, settings

BUCKETS = 10
"""Parts of a window; the oldest part leaves the sums as a whole."""


@attrs.define
class _Counts:
    """The attempts of one service in one part of a window."""

    number: int
    requests: int = 0
    repeats: int = 0


class RepeatBudget:
    """Lets a node repeat a bounded share of its requests to each service.

    The fleet shares one bound, and no node knows what the others send. Each keeps
    to the ratio of its own requests, so that the sum keeps to it whatever the
    size of the fleet is, and however it is partitioned.
    """

    def __init__(
        self, time_source: clock.Clock, repeat_settings: settings.RepeatSettings
    ) -> None:
        self.clock = time_source
        self.settings = repeat_settings
        self.bucket_ms = repeat_settings.window_ms / BUCKETS
        self.by_service: dict[str, list[_Counts]] = {}
        self.refused = 0

    def record_request(self, service: str) -> None:
        """Count the first attempt of a request."""
        self._current(service)[-1].requests += 1

    def may_repeat(self, service: str) -> bool:
        """Return whether one more attempt may be sent."""
        counts = self._current(service)
        requests = sum(count.requests for count in counts)
        repeats = sum(count.repeats for count in counts)
        return repeats + 1 <= self.settings.ratio * requests + self.settings.slack

    def try_repeat(self, service: str) -> bool:
        """Return whether one more attempt may be sent, and count it if so."""
        if not self.may_repeat(service):
            self.refused += 1
            return False
        self._current(service)[-1].repeats += 1
        return True

    def _current(self, service: str) -> list[_Counts]:
        number = int(self.clock.now_ms() / self.bucket_ms)
        counts = self.by_service.setdefault(service, [])
        if not counts or counts[-1].number != number:
            counts.append(_Counts(number))
        while counts[0].number <= number - BUCKETS:
            del counts[0]
        return counts
