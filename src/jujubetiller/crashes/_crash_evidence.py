"""Which requests the known crashes speak against."""

import collections
from collections.abc import Iterable, Sequence

import logbook

from jujubetiller import clock, settings
from jujubetiller.crashes import (
    _crash_message,
    _crash_report,
    _crash_reports,
    _standing,
    _verdict,
)

_LOG = logbook.Logger("jujubetiller.crashes")

_Report = _crash_report.CrashReport
_Standing = _standing.Standing

CRASHES_OF_COMMON_SUSPECT = 3
"""The only request that was running at this many crashes is blamed for them."""


class CrashEvidence:
    """Finds the request that crashes instances among those that run beside it.

    The requests that were running at a crash become suspects, which are run apart from
    each other. If an instance crashes while it runs exactly one suspect, that one is
    blamed, also for the earlier crashes at which it was running, and the other requests
    of these are no longer suspects. A request that ends with a response is cleared.

    All nodes beside instances of one service exchange their reports, so that a request
    has the same standing at each of them.
    """

    def __init__(
        self, time_source: clock.Clock, crash_settings: settings.CrashSettings
    ) -> None:
        self.clock = time_source
        self.settings = crash_settings
        self.reports = _crash_reports.CrashReports(crash_settings.max_reports)
        self.suspects: dict[int, int] = {}
        """The place of each suspect in the order of starts, the latest first."""

        self.verdicts: dict[int, _verdict.Verdict] = {}
        self.arrivals: collections.Counter[int] = collections.Counter()
        """How often each suspect has come since it became one."""

        self.counts: collections.Counter[str] = collections.Counter()
        """Crashes, and requests that were blamed for some or cleared again."""

    def is_empty(self) -> bool:
        """Return whether no crash is known."""
        return not self.reports

    def find_standing(self, fingerprint: int) -> _standing.Standing:
        """Return how a request may be run now."""
        verdict = self.verdicts.get(fingerprint)
        if verdict is not None and self.clock.now_ms() < verdict.refused_until_ms:
            return _Standing.BLAMED
        if verdict is not None or fingerprint in self.suspects:
            return _Standing.SUSPECT
        return _Standing.CLEAR

    def is_blamed(self, fingerprint: int) -> bool:
        """Return whether a request is blamed for crashes, also if it may be tried."""
        return fingerprint in self.verdicts

    def record_arrival(self, fingerprint: int) -> None:
        """Count a copy of a suspect that has come."""
        self.arrivals[fingerprint] += 1

    def rank(self, fingerprint: int) -> tuple[int, int]:
        """Return what orders suspects; the one to be tried first has the lowest rank.

        A request that crashes instances gets no response, so it comes more often than
        the others, and instances mostly crash soon after it has started.
        """
        return -self.arrivals[fingerprint], self.suspects.get(fingerprint, 0)

    def record_crash(self, crash_id: str, running: Sequence[int]) -> _Report:
        """Return the report of a crash at this node's instance.

        ``running`` are the fingerprints of what it ran, the latest start first.
        """
        ran = tuple(dict.fromkeys(running))[: _crash_message.MAX_RUNNING]
        suspects = [
            each for each in ran if self.find_standing(each) is not _Standing.CLEAR
        ]
        report = _Report(crash_id, self.clock.now_ms(), tuple(suspects) or ran)
        if len(suspects) == 1:
            report = report.blame(suspects[0])
        self.counts["crash"] += 1
        _LOG.warning(
            "instance crashed",
            extra={
                "crash": crash_id,
                "ran": len(ran),
                "suspects": [describe(each) for each in suspects],
                "blamed": None if report.blamed is None else describe(report.blamed),
            },
        )
        self.merge([report])
        return report

    def merge(self, reports: Iterable[_Report]) -> bool:
        """Add reports, or what they tell more; return whether anything is new."""
        is_changed = self.reports.merge(reports)
        if is_changed:
            self._weigh()
        return is_changed

    def record_response(self, fingerprint: int) -> list[_Report]:
        """Clear a request that ended with a response; return the changed reports."""
        if fingerprint not in self.suspects and fingerprint not in self.verdicts:
            return []
        changed = [
            each.clear(fingerprint)
            for each in self.reports.all()
            if fingerprint in each.list_suspects()
        ]
        if self.is_blamed(fingerprint):
            self.counts["acquitted"] += 1
            _LOG.warning(
                "blamed request cleared", extra={"fingerprint": describe(fingerprint)}
            )
        self.merge(changed)
        return changed

    def expire(self) -> bool:
        """Drop the reports that are too old; return whether there were any."""
        now_ms = self.clock.now_ms()
        old = [
            each.crash_id
            for each in self.reports.all()
            if now_ms >= self._find_expiry_ms(each)
        ]
        self.reports.remove(old)
        if old:
            self._weigh()
        return bool(old)

    def _find_expiry_ms(self, report: _Report) -> float:
        verdict = None if report.blamed is None else self.verdicts.get(report.blamed)
        if verdict is None:
            return report.at_ms + self.settings.suspicion_ms
        # A verdict outlasts its refusal: the trial after it needs only one crash.
        return 2.0 * verdict.refused_until_ms - verdict.last_at_ms

    def _weigh(self) -> None:
        """Derive the verdicts and the suspects from the reports."""
        self._explain()
        verdicts: dict[int, _verdict.Verdict] = {}
        suspects: dict[int, int] = {}
        counted = self.reports.count_blamed()
        for report in self.reports.all():
            if report.blamed is None:
                for place, fingerprint in enumerate(report.list_suspects()):
                    suspects[fingerprint] = min(place, suspects.get(fingerprint, place))
            elif report.blamed in counted:
                fingerprint = report.blamed
                verdicts[fingerprint] = _verdict.weigh_crash(
                    verdicts.get(fingerprint),
                    report.at_ms,
                    counted[fingerprint],
                    self.settings,
                )
        self._log_new(verdicts)
        self.verdicts, self.suspects = verdicts, suspects
        for fingerprint in [each for each in self.arrivals if each not in suspects]:
            del self.arrivals[fingerprint]

    def _explain(self) -> None:
        """Blame known culprits for the unexplained crashes at which they ran."""
        culprits = set(self.reports.count_blamed())
        common = self.reports.find_common_suspect(CRASHES_OF_COMMON_SUSPECT)
        if common is not None:
            culprits.add(common)
        for report in self.reports.list_unexplained():
            culprit = next((f for f in report.list_suspects() if f in culprits), None)
            if culprit is not None:
                self.reports.merge([report.blame(culprit)])

    def _log_new(self, verdicts: dict[int, _verdict.Verdict]) -> None:
        for fingerprint, verdict in verdicts.items():
            known = self.verdicts.get(fingerprint)
            if known is None or known.crashes < verdict.crashes:
                self.counts["blamed"] += 1
                _LOG.warning(
                    "request blamed for crashes",
                    extra={
                        "fingerprint": describe(fingerprint),
                        "crashes": verdict.crashes,
                        "refused_ms": verdict.refused_until_ms - verdict.last_at_ms,
                    },
                )


def describe(fingerprint: int) -> str:
    """Return a fingerprint as logs have it.

    >>> describe(255)
    '00000000000000ff'
    """
    return f"{fingerprint:016x}"
