"""The admission of calls at the entry node."""

import random

from jujubetiller import codes
from jujubetiller.pressure import _pressure_table


class EntryAdmission:
    """Refuses calls that a downstream service would refuse.

    A small share of them is admitted as probes, whose answers report whether the
    pressure has ended. ``refused`` and ``probes`` count both.
    """

    def __init__(
        self, table: _pressure_table.PressureTable, random_source: random.Random
    ) -> None:
        self.table = table
        self.random = random_source
        self.refused = 0
        self.probes = 0

    def decide(self, service: str, kind: str, rank: int) -> codes.ResultCode | None:
        """Return the code of a refusal, or None to admit the call."""
        entry = self.table.find(service, kind)
        if entry is None:
            return None
        entry.include_rank(rank)
        if rank <= entry.level:
            return None
        now_ms = self.table.clock.now_ms()
        if (
            now_ms >= entry.next_probe_ms
            and self.random.random() < self.table.settings.probe_share
        ):
            entry.next_probe_ms = now_ms + self.table.settings.probe_interval_ms
            self.probes += 1
            return None
        self.refused += 1
        return codes.ResultCode.OVERLOADED_DOWNSTREAM
