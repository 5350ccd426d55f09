"""Guards against faults of the admission at the entry node.

It must not admit calls that would be refused downstream, nor refuse calls after the
pressure has ended, and nodes must not all admit calls again at the same moment.
"""

import random
from typing import Any

import pytest

from jujubetiller import clock, codes, pressure, settings

SERVICE, KIND = "booth", "booking"


def build(
    seed: int = 1, **fields: Any
) -> tuple[clock.ManualClock, pressure.PressureTable, pressure.EntryAdmission]:
    manual_clock = clock.ManualClock(5_000)
    source = random.Random(seed)
    table = pressure.PressureTable(
        manual_clock, source, settings.PressureSettings(**fields)
    )
    return manual_clock, table, pressure.EntryAdmission(table, source)


def admitted_ranks(admission: pressure.EntryAdmission, ranks: range) -> set[int]:
    return {rank for rank in ranks if admission.decide(SERVICE, KIND, rank) is None}


@pytest.mark.parametrize(
    ("level", "refused_from"), [(None, 512), (511, 512), (383, 384), (40, 41), (0, 1)]
)
def test_ranks_above_the_reported_level_are_refused(
    level: int | None, refused_from: int
) -> None:
    _, table, admission = build(probe_share=0.0)
    table.observe(SERVICE, KIND, level, "ledger")
    admission.decide(SERVICE, KIND, 0)
    admission.decide(SERVICE, KIND, 511)
    assert admitted_ranks(admission, range(512)) == set(range(refused_from))
    assert admission.decide(SERVICE, "other kind", 511) is None


def test_a_level_rises_gradually_to_full_admission_within_two_seconds() -> None:
    manual_clock, table, admission = build(probe_share=0.0)
    table.observe(SERVICE, KIND, 100, "ledger")
    sizes = []
    for _ in range(20):
        sizes.append(len(admitted_ranks(admission, range(256, 384))))
        manual_clock.advance(100)
    steps = [after - before for before, after in zip(sizes, sizes[1:], strict=False)]
    assert sizes[0] == 0
    assert sizes[-1] == 128
    assert max(steps) <= 128 // 8
    assert table.level(SERVICE, KIND) is None
    assert not table.entries


def test_nodes_reopen_at_different_times() -> None:
    levels = set()
    for seed in range(10):
        manual_clock, table, admission = build(seed)
        table.observe(SERVICE, KIND, 100, "ledger")
        admission.decide(SERVICE, KIND, 383)
        manual_clock.advance(700)
        levels.add(table.level(SERVICE, KIND))
    assert len(levels) >= 8


def test_one_overloaded_instance_of_three_causes_only_partial_refusal() -> None:
    _, table, admission = build(probe_share=0.0)
    table.observe(SERVICE, KIND, 256, "ledger")
    for _ in range(30):
        admission.decide(SERVICE, KIND, 383)
        for level in (None, None, 255):
            table.observe(SERVICE, KIND, level, "ledger")
    assert 40 < len(admitted_ranks(admission, range(256, 384))) < 120


@pytest.mark.parametrize(("share", "least", "most"), [(0.0, 0, 0), (0.5, 5, 11)])
def test_probes_are_admitted_up_to_a_bound(share: float, least: int, most: int) -> None:
    manual_clock, table, admission = build(probe_share=share, probe_interval_ms=100)
    decisions = []
    for _ in range(1_000):
        table.observe(SERVICE, KIND, 0, "ledger")
        decisions.append(admission.decide(SERVICE, KIND, 300))
        manual_clock.advance(1)
    assert least <= decisions.count(None) <= most
    assert admission.probes == decisions.count(None)
    assert admission.refused == decisions.count(codes.ResultCode.OVERLOADED_DOWNSTREAM)


def test_the_table_is_bounded_and_drops_the_least_recent_report() -> None:
    _, table, _ = build(most_keys=2)
    for kind in ("a", "b", "a", "c"):
        table.observe(SERVICE, kind, 10, "ledger")
    assert [kind for _, kind in table.entries] == ["a", "c"]
    assert table.dropped_keys == 1
