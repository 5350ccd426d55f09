"""The pressure levels that answers reported."""

import collections
import random

from jujubetiller import clock, limits, settings
from jujubetiller.pressure import _pressure_entry

_Key = tuple[str, str]


class PressureTable:
    """Stores a level for each service and kind that is under pressure.

    The level of a key is an average of what its instances report, so one overloaded
    instance among many causes only part of the ranks to be refused. Without reports, it
    rises through the ranks in use in ``reopen_ms``, varied at random by a quarter, so
    that the nodes of a fleet do not admit all calls again at the same moment.

    When the table is full, the key that was reported least recently is dropped;
    ``dropped_keys`` counts these.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        random_source: random.Random,
        pressure_settings: settings.PressureSettings | None = None,
    ) -> None:
        self.clock = time_source
        self.random = random_source
        self.settings = pressure_settings or settings.PressureSettings()
        self.entries: collections.OrderedDict[_Key, _pressure_entry.PressureEntry] = (
            collections.OrderedDict()
        )
        self.dropped_keys = 0

    def observe(
        self, service: str, kind: str, level: int | None, source_service: str
    ) -> None:
        """Record the level of one answer; None means that nothing is refused.

        ``source_service`` is the service that set the level.
        """
        key = (service, kind)
        entry = self.entries.get(key)
        if entry is None:
            if level is not None:
                self._add(key, level, source_service)
            return
        entry.rise(self.clock.now_ms())
        reported = entry.ceiling if level is None else float(level)
        entry.move_towards(reported, self.settings.report_weight)
        if level is not None:
            entry.source_service = source_service
            self.entries.move_to_end(key)

    def level(self, service: str, kind: str) -> int | None:
        """Return the rank above which calls are refused; None if none are."""
        entry = self.find(service, kind)
        return None if entry is None else int(entry.level)

    def find(self, service: str, kind: str) -> _pressure_entry.PressureEntry | None:
        """Return the entry of a key under pressure, its level as of now."""
        key = (service, kind)
        entry = self.entries.get(key)
        if entry is None:
            return None
        entry.rise(self.clock.now_ms())
        if entry.level >= entry.ceiling:
            del self.entries[key]
            return None
        return entry

    def _add(self, key: _Key, level: int, source_service: str) -> None:
        if len(self.entries) >= self.settings.most_keys:
            self.entries.popitem(last=False)
            self.dropped_keys += 1
        first_refused = level + 1
        class_end = first_refused | (limits.RANKS_PER_CLASS - 1)
        self.entries[key] = _pressure_entry.PressureEntry(
            level=float(level),
            changed_at_ms=self.clock.now_ms(),
            reopen_ms=self.settings.reopen_ms * self.random.uniform(0.75, 1.25),
            source_service=source_service,
            ceiling=float(class_end),
        )
