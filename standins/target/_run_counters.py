"""Counters of the runs of a target."""

import collections
from typing import Any

import attrs


@attrs.define
class RunCounters:
    """Counts runs by marker, execution key and path, and their ends by reason."""

    by_marker: collections.Counter[str] = attrs.field(factory=collections.Counter)
    by_key: collections.Counter[str] = attrs.field(factory=collections.Counter)
    by_path: collections.Counter[str] = attrs.field(factory=collections.Counter)
    ends: collections.Counter[str] = attrs.field(factory=collections.Counter)
    highest_running: int = 0

    def count_run(self, marker: str, key: str, path: str, running: int) -> None:
        """Count a run at its start."""
        self.by_marker[marker] += 1
        self.by_path[path] += 1
        if key:
            self.by_key[key] += 1
        self.highest_running = max(self.highest_running, running)

    def report(self, only_repeated: bool = False) -> dict[str, Any]:
        """Return all counters; ``only_repeated`` omits those that ran once."""
        least = 2 if only_repeated else 1

        def select(counts: collections.Counter[str]) -> dict[str, int]:
            return {name: count for name, count in counts.items() if count >= least}

        return {
            "runs": sum(self.by_path.values()),
            "by_path": dict(self.by_path),
            "by_marker": select(self.by_marker),
            "by_key": select(self.by_key),
            "ends": dict(self.ends),
            "highest_running": self.highest_running,
        }
