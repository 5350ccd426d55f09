"""Guards against membership tables that differ, regress or never drop instances."""

from typing import Any

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from jujubetiller import clock, membership, settings

SETTINGS = settings.ControlSettings()


def make_record(**changes: Any) -> membership.InstanceRecord:
    base = membership.InstanceRecord("ledger-1", "ledger", "puchong", "127.0.0.1", 7)
    return attrs.evolve(base, **changes)


def make_table(**changes: Any) -> membership.MembershipTable:
    return membership.MembershipTable(
        clock.ManualClock(), settings.ControlSettings(**changes)
    )


ANNOUNCED = strategies.builds(
    make_record,
    incarnation=strategies.integers(1, 2),
    boot_id=strategies.sampled_from("ab"),
    draining=strategies.booleans(),
    leaving=strategies.booleans(),
    refresh=strategies.integers(0, 1),
)
LISTED = strategies.builds(
    lambda port, version, listed, leaving: make_record(
        peer_port=port,
        list_version=version,
        listed=listed,
        leaving=leaving,
        listed_leaving=leaving,
    ),
    strategies.integers(7, 8),
    strategies.integers(1, 3),
    strategies.booleans(),
    strategies.booleans(),
)
RECORDS = strategies.lists(ANNOUNCED | LISTED, min_size=1, max_size=5)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(records=RECORDS, data=strategies.data())
def test_any_order_and_repetition_gives_one_table(
    records: list[membership.InstanceRecord], data: strategies.DataObject
) -> None:
    first, second = make_table(), make_table()
    for record in records:
        first.merge(record)
    processes = [(0, "")]
    for record in data.draw(strategies.permutations(records + records[:2])):
        second.load([record.as_wire()])
        processes.append(second.records["ledger-1"].process)
    assert processes == sorted(processes)
    assert first.records == second.records
    assert first.digest() == second.digest()


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        pytest.param(
            [{"incarnation": 2}, {"incarnation": 1, "leaving": True}],
            {"incarnation": 2},
            id="a higher incarnation wins",
        ),
        pytest.param(
            [{"incarnation": 1, "draining": True}, {"incarnation": 1}],
            {"incarnation": 1, "draining": True},
            id="draining is sticky",
        ),
        pytest.param(
            [{"incarnation": 1, "leaving": True}, {"incarnation": 2}],
            {"incarnation": 2},
            id="a new process does not leave with the old one",
        ),
        pytest.param(
            [{"incarnation": 1, "boot_id": "b"}, {"incarnation": 1, "boot_id": "a"}],
            {"incarnation": 1, "boot_id": "b"},
            id="the greater boot id wins within one incarnation",
        ),
        pytest.param(
            [{"incarnation": 1}, {"list_version": 9, "listed": True, "peer_port": 8}],
            {"incarnation": 1, "list_version": 9, "listed": True},
            id="the instance's own address overrides the list's",
        ),
    ],
)
def test_merge_rules(records: list[dict[str, Any]], expected: dict[str, Any]) -> None:
    table = make_table()
    for record in records:
        table.merge(make_record(**record))
    assert table.get("ledger-1") == make_record(**expected)


def test_the_published_list_does_not_overrule_the_instance() -> None:
    table = make_table()
    table.merge(make_record(incarnation=1))
    table.merge_published_list("puchong", [make_record(leaving=True)], 5)
    record = table.get("ledger-1")
    assert record is not None
    assert (record.accepts_new_work, record.listed_leaving) == (True, True)
    listed_only = make_table()
    listed_only.merge_published_list("puchong", [make_record(leaving=True)], 5)
    assert not listed_only.instances()[0].accepts_new_work


def test_an_older_list_is_ignored_and_a_peer_cannot_bring_its_content_back() -> None:
    table = make_table()
    table.merge_published_list("puchong", [], 7)
    assert table.merge_published_list("puchong", [make_record()], 6) == []
    assert (table.instances(), table.old_list_count) == ((), 1)
    table.merge(make_record(list_version=6, listed=True))
    assert table.instances()[0].is_absent
    assert table.instances()[0].list_version == 7


def test_an_unlisted_silent_instance_expires_and_does_not_come_back() -> None:
    table = make_table()
    manual_clock = table.clock
    assert isinstance(manual_clock, clock.ManualClock)
    empty = table.digest()
    table.merge(make_record(incarnation=1))
    table.merge_published_list("puchong", [], 4)
    old = table.records["ledger-1"]
    manual_clock.advance(membership.ABSENT_EXPIRY_MS - 1)
    assert table.expire() == []
    table.merge(attrs.evolve(old, refresh=1))
    manual_clock.advance(membership.ABSENT_EXPIRY_MS - 1)
    assert table.expire() == []
    assert table.instances()
    manual_clock.advance(1)
    assert table.expire() == ["ledger-1"]
    table.merge(old)
    assert (table.instances(), table.get("ledger-1")) == ((), None)
    assert (table.instances_of("ledger"), table.by_zone) == ((), {})
    assert table.digest() == empty
    table.merge(attrs.evolve(old, refresh=2))
    assert table.get("ledger-1") is not None
    manual_clock.advance(membership.ABSENT_EXPIRY_MS)
    table.expire()
    manual_clock.advance(membership.DROPPED_RETENTION_MS)
    table.expire()
    assert table.records == {}


def test_an_unchanged_instance_keeps_its_record_with_a_new_list() -> None:
    table = make_table()
    assert len(table.merge_published_list("puchong", [make_record()], 1)) == 1
    other = make_record(instance="ledger-2")
    changed = table.merge_published_list("puchong", [make_record(), other], 2)
    assert [record.instance for record in changed] == ["ledger-2"]


def test_bounds_and_bad_records_are_counted() -> None:
    table = make_table(max_instances=1)
    table.merge(make_record())
    assert table.merge(make_record(instance="ledger-2")) is None
    good = make_record().as_wire()
    bad: list[Any] = [None, "x" * 13, good[:-1], [*good[:3], "host", *good[4:]]]
    bad += [[*good[:4], "7", *good[5:]], [*good[:4], 70_000, *good[5:]]]
    bad += [["", *good[1:]], ["x" * 101, *good[1:]]]
    assert table.load(bad) == []
    assert (table.over_limit_count, table.rejected_count) == (1, len(bad))


def test_own_incarnation_rises_above_others_at_most_once_per_pause() -> None:
    manual_clock = clock.ManualClock()
    own = membership.OwnIncarnation(manual_clock, SETTINGS, "m")
    assert not own.raise_above(1, "a")
    assert own.raise_above(1, "z")
    assert own.value == 2
    assert not own.raise_above(9, "z")
    manual_clock.advance(SETTINGS.digest_ms)
    assert own.raise_above(9, "z")
    assert (own.value, own.raised_count) == (10, 2)
    assert not own.raise_above(99, "m")


def test_neighbours_form_connected_rings_without_suspects() -> None:
    table = make_table()
    for zone in range(5):
        for at in range(7):
            name = f"i-{zone}-{at}"
            table.merge(make_record(instance=name, zone=f"zone-{zone}"))
    own = table.records["i-2-6"]
    chosen = [n.instance for n in membership.choose_neighbours(own, table)]
    assert chosen[:2] == ["i-2-0", "i-2-1"]
    assert len(set(chosen)) == 6
    assert "i-2-6" not in chosen
    assert chosen[4].startswith("i-3-")
    suspects = {"i-2-0", *(f"i-3-{at}" for at in range(7))}
    changed = membership.choose_neighbours(own, table, suspects)
    assert changed[0].instance == "i-2-1"
    assert changed[4].zone == "zone-4"
    table.merge(attrs.evolve(table.records["i-2-0"], incarnation=1, leaving=True))
    assert "i-2-0" not in [n.instance for n in membership.choose_neighbours(own, table)]
    alone = make_table()
    assert membership.choose_neighbours(own, alone) == ()
