"""The bounded table of the crashes that a node knows of."""

import collections
from collections.abc import Iterable

import msgpack
import xxhash

from jujubetiller.crashes import _crash_report

_Report = _crash_report.CrashReport


class CrashReports:
    """Keeps the latest ``max_reports`` crashes by their ids."""

    def __init__(self, max_reports: int) -> None:
        self.max_reports = max_reports
        self.by_id: dict[str, _Report] = {}
        self.dropped = 0
        """Reports that were dropped because there were too many."""

    def __len__(self) -> int:
        return len(self.by_id)

    def all(self) -> tuple[_Report, ...]:
        """Return all reports."""
        return tuple(self.by_id.values())

    def merge(self, reports: Iterable[_Report]) -> bool:
        """Add reports, or what they tell more; return whether anything is new."""
        is_changed = False
        for report in reports:
            known = self.by_id.get(report.crash_id)
            merged = report if known is None else known.merge(report)
            if merged != known:
                self.by_id[report.crash_id] = merged
                is_changed = True
        self._drop_oldest()
        return is_changed

    def remove(self, crash_ids: Iterable[str]) -> None:
        """Remove the reports with these ids."""
        for crash_id in crash_ids:
            del self.by_id[crash_id]

    def list_crashed_since(self, at_ms: float) -> set[str]:
        """Return the processes whose instances have crashed since ``at_ms``."""
        return {each.process_name for each in self.by_id.values() if each.at_ms > at_ms}

    def count_blamed(self) -> collections.Counter[int]:
        """Return the number of crashes of each request that is blamed for some."""
        return collections.Counter(
            each.blamed
            for each in self.by_id.values()
            if each.blamed is not None and each.blamed not in each.cleared
        )

    def list_unexplained(self) -> list[_Report]:
        """Return the reports of which the cause is not known."""
        return [each for each in self.by_id.values() if each.blamed is None]

    def find_common_suspect(self, crashes: int) -> int | None:
        """Return the request that was running at more unexplained crashes than others.

        ``None`` if that are fewer than ``crashes``, or if several requests were.
        """
        counted = collections.Counter(
            fingerprint
            for report in self.list_unexplained()
            for fingerprint in report.list_suspects()
        ).most_common(2)
        if not counted or counted[0][1] < crashes:
            return None
        is_only_one = len(counted) == 1 or counted[1][1] < counted[0][1]
        return counted[0][0] if is_only_one else None

    def digest(self) -> int:
        """Return a number that is equal for nodes that know the same; 0 for none."""
        if not self.by_id:
            return 0
        rows = sorted(
            (each.crash_id, each.blamed or 0, len(each.cleared))
            for each in self.by_id.values()
        )
        return xxhash.xxh64_intdigest(msgpack.packb(rows))

    def _drop_oldest(self) -> None:
        while len(self.by_id) > self.max_reports:
            oldest = min(self.by_id.values(), key=lambda each: each.at_ms)
            del self.by_id[oldest.crash_id]
            self.dropped += 1
