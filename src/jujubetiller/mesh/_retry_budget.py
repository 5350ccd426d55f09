"""The budget for retries."""

from collections.abc import Callable

import attrs

from jujubetiller import clock, settings

BUCKETS_PER_WINDOW = 10
"""Buckets in a window; the oldest bucket expires as a whole."""


@attrs.define
class _Counts:
    """The requests and retries of one service in one bucket."""

    number: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Limits a node's retries to a share of its requests to each service.

    The limit holds for the fleet, but no node knows what the others send. Each node
    keeps the ratio for its own requests, so the fleet keeps it too, whatever its
    size and however it is partitioned. What the fleet may send beyond the ratio is
    divided by the number of nodes.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        retry_settings: settings.RepeatSettings,
        count_nodes: Callable[[], int],
    ) -> None:
        self.clock = time_source
        self.settings = retry_settings
        self.count_nodes = count_nodes
        self.bucket_ms = retry_settings.window_ms / BUCKETS_PER_WINDOW
        self.by_service: dict[str, list[_Counts]] = {}
        self.refused = 0

    def apply_settings(self, retry_settings: settings.RepeatSettings) -> None:
        """Use other settings from now on; what was counted stays in its time."""
        old_bucket_ms = self.bucket_ms
        self.settings = retry_settings
        self.bucket_ms = retry_settings.window_ms / BUCKETS_PER_WINDOW
        for counts in self.by_service.values():
            for count in counts:
                count.number = int(count.number * old_bucket_ms / self.bucket_ms)

    def record_request(self, service: str) -> None:
        """Count the first attempt of a request."""
        self._current(service)[-1].requests += 1

    def may_retry(self, service: str) -> bool:
        """Return whether the budget allows one more retry."""
        counts = self._current(service)
        requests = sum(count.requests for count in counts)
        retries = sum(count.retries for count in counts)
        part = self.settings.fleet_slack / max(1, self.count_nodes())
        slack = min(self.settings.slack, part)
        return retries + 1 <= self.settings.ratio * requests + slack

    def try_acquire(self, service: str) -> bool:
        """Return whether the budget allows one more retry, and count it if so."""
        if not self.may_retry(service):
            self.refused += 1
            return False
        self._current(service)[-1].retries += 1
        return True

    def _current(self, service: str) -> list[_Counts]:
        number = int(self.clock.now_ms() / self.bucket_ms)
        counts = self.by_service.setdefault(service, [])
        if not counts or counts[-1].number != number:
            counts.append(_Counts(number))
        while counts[0].number <= number - BUCKETS_PER_WINDOW:
            del counts[0]
        return counts
