"""Records what the node's own target states about itself."""

import collections

import logbook

from jujubetiller import calls, limits
from jujubetiller.notices import _notice_names, _target_notices

_LOG = logbook.Logger("jujubetiller.notices")


class NoticeRecorder:
    """Passes the notices of the target's responses on to its guard and logs changes.

    Notices are those of one lifetime of one instance. A response that another instance
    gives, or another start time in the list, begins a new lifetime.
    """

    def __init__(
        self, guard: limits.TargetGuard, names: _notice_names.NoticeNames
    ) -> None:
        self.guard = guard
        self.names = names
        self.instance = ""
        """The instance that the recorded notices are of; empty before the first."""

        self.listed: tuple[str, int] | None = None
        """Name and start time of the instance that is listed at this node."""

        self.is_leaving = False
        self.counts: collections.Counter[str] = collections.Counter()
        """Numbers of responses with a notice, and of bad values, by event."""

    def apply_list(self, instance: str, started_unix_ms: int) -> None:
        """Begin a new lifetime if the listed instance has started again."""
        before, self.listed = self.listed, (instance, started_unix_ms)
        if before == self.listed or before is None:
            return
        if before[0] == instance or instance != self.instance:
            self._start_lifetime(instance)

    def _start_lifetime(self, instance: str) -> None:
        """Forget the notices of the lifetime before."""
        if self.guard.rate_limit.per_s is not None or self.is_leaving:
            _LOG.info("target has a new lifetime", extra={"instance": instance})
        self.instance = instance
        self.guard.rate_limit.reset()
        self.is_leaving = False

    def adopt_limit(self, instance: str, limit_per_s: float | None) -> None:
        """Take over the limit that a caller names before the target has responded."""
        rate_limit = self.guard.rate_limit
        if limit_per_s is None or rate_limit.has_response:
            return
        if limit_per_s != rate_limit.per_s and rate_limit.adopt(limit_per_s):
            self.instance = instance
            self.counts["adopted"] += 1
            _LOG.info(
                "rate limit adopted from a caller",
                extra={"instance": instance, "limit_per_s": limit_per_s},
            )

    def add_to_answer(self, instance: str, answer: calls.CallAnswer) -> None:
        """Set the fields of ``answer`` that tell its caller about ``instance``.

        They stay empty for an instance that has not responded yet.
        """
        if instance != self.instance:
            return
        answer.rate_limit_per_s = self.guard.rate_limit.per_s or 0.0
        answer.admitted_share = self.guard.rate_limiter.admitted_share()
        answer.target_leaving = self.is_leaving

    def is_known(self, instance: str, notices: _target_notices.TargetNotices) -> bool:
        """Return whether such a response would change nothing.

        Nearly all responses have no notice and follow others without one.
        """
        rate_limit = self.guard.rate_limit
        return (
            notices is _target_notices.NO_NOTICES
            and rate_limit.per_s is None
            and rate_limit.has_response
            and instance == self.instance
        )

    def record(
        self,
        instance: str,
        notices: _target_notices.TargetNotices,
        sent_at_ms: float,
        has_run: bool,
    ) -> None:
        """Record the notices of a response of ``instance``.

        The caller has checked that the response belongs to its request.
        ``sent_at_ms`` is when the request was sent. Only a response to a request that
        ``has_run`` can end a limit.
        """
        if instance != self.instance:
            self._start_lifetime(instance)
        for problem in notices.problems:
            self.counts["bad_value"] += 1
            _LOG.warning("notice of the target rejected: {}", problem)
        limit_per_s = notices.rate_limit_per_s
        if limit_per_s is not None:
            self.counts["rate_limit"] += 1
            self._record_limit(limit_per_s)
        elif has_run and not notices.problems:
            self._record_omission(sent_at_ms)
        if notices.is_leaving:
            self.counts["leaving"] += 1
            self._record_leaving()

    def _record_limit(self, limit_per_s: float) -> None:
        previous_per_s = self.guard.rate_limit.per_s
        if self.guard.rate_limit.record_named(limit_per_s):
            _LOG.info(
                "target names a rate limit",
                extra={
                    "instance": self.instance,
                    "limit_per_s": limit_per_s,
                    "previous_per_s": previous_per_s,
                    **self.guard.describe_rates(),
                },
            )

    def _record_omission(self, sent_at_ms: float) -> None:
        rate_limit = self.guard.rate_limit
        previous_per_s, age_ms = rate_limit.per_s, rate_limit.age_ms()
        if rate_limit.record_omitted(sent_at_ms):
            _LOG.info(
                "target no longer names a rate limit",
                extra={
                    "instance": self.instance,
                    "previous_per_s": previous_per_s,
                    "age_ms": round(age_ms, 1),
                    **self.guard.describe_rates(),
                },
            )

    def _record_leaving(self) -> None:
        if not self.is_leaving:
            self.is_leaving = True
            _LOG.info(
                "target says that it leaves",
                extra={"instance": self.instance, **self.guard.describe_rates()},
            )
