"""Guards against lost entries and starved classes in the fair queue."""

import functools
import random

import pytest

from jujubetiller import calls, clock, limits, settings


def make_entry(
    priority_class: int, team: str = "", is_nested: bool = False
) -> limits.GuardEntry:
    return limits.GuardEntry(
        rank=priority_class * limits.RANKS_PER_CLASS,
        depth=0,
        deadline=calls.Deadline(1e9),
        start=lambda: None,
        refuse=lambda code: None,
        team=team,
        is_nested=is_nested,
        expires_at_ms=1e6,
    )


@pytest.mark.parametrize("order", [limits.ClassQueueOrder(), None])
def test_a_new_order_while_calls_wait_loses_none_and_keeps_nested_calls_first(
    order: limits.ClassQueueOrder | None,
) -> None:
    """Guards against KeyErrors, and nested calls last, once teams come into force."""
    queue = limits.FairAdmissionQueue(10)
    first, second, nested = (
        make_entry(1, "a"),
        make_entry(1, "b"),
        make_entry(1, "a", is_nested=True),
    )
    queue.push(first)
    queue.set_order(order or limits.build_order("priority"))
    queue.push(second)
    queue.push(nested)
    queue.remove(second)
    assert [queue.pop(False) for _ in range(3)] == [nested, first, None]
    queue.push(second)
    assert list(queue.pop_expired(1e7)) == [second]


def test_starts_for_the_floor_take_the_other_buckets_in_turn() -> None:
    """Guards against middle classes that starve while the last one is served."""
    queue = limits.FairAdmissionQueue(200)
    for priority_class in (0, 1, 2, 3):
        for _ in range(40):
            queue.push(make_entry(priority_class))
    popped = [queue.pop(False) for _ in range(48)]
    eighths = [entry for entry in popped[7::8] if entry is not None]
    classes = [entry.rank // limits.RANKS_PER_CLASS for entry in eighths]
    assert classes == [1, 2, 3, 1, 2, 3]


def test_a_bucket_that_was_the_first_leaves_the_floor_to_the_others() -> None:
    """Guards against starts for the floor that go to calls which hardly wait."""
    queue = limits.FairAdmissionQueue(200)
    for priority_class in (1, 2):
        for _ in range(40):
            queue.push(make_entry(priority_class))
    classes = []
    for number in range(32):
        if number % 8 == 7:
            queue.push(make_entry(0))
        entry = queue.pop(False)
        assert entry is not None
        classes.append(entry.rank // limits.RANKS_PER_CLASS)
    assert classes[7::8] == [2, 2, 2, 2]


def serve(
    loads: dict[int, float], seconds: float = 30.0, slots: int = 4
) -> dict[int, float]:
    """Return the served share of each class, of loads relative to the capacity."""
    time_source = clock.ManualClock(1_000.0)
    source = random.Random(5)
    guard = limits.build_guard(
        time_source,
        settings.LimitSettings(
            policy="fixed", slots=slots, queue_length=80, queue_wait_ms=400
        ),
    )
    guard.queue = limits.FairAdmissionQueue(80)
    running: list[limits.GuardEntry] = []
    offered = dict.fromkeys(loads, 0)
    served = dict.fromkeys(loads, 0)
    # Each slot ends a call in 20 steps of 1 ms.
    for step in range(int(seconds * 1_000)):
        time_source.advance(1.0)
        guard.expire()
        for priority_class, load in loads.items():
            if source.random() < load * slots / 20.0:
                entry = make_entry(priority_class)
                entry.deadline = calls.Deadline.after(time_source, 5_000.0)
                entry.start = functools.partial(running.append, entry)
                offered[priority_class] += 1
                guard.submit(entry)
        if step % (20 // slots) == 0 and running:
            entry = running.pop(0)
            served[entry.rank // limits.RANKS_PER_CLASS] += 1
            guard.finished(entry, True)
    return {each: served[each] / offered[each] for each in loads}


def test_each_class_gets_a_part_of_the_starts_for_the_floor() -> None:
    """Guards against middle classes that starve while the last one is served."""
    shares = serve({0: 1.1, 1: 0.1, 2: 0.1})
    assert shares[0] >= 0.75
    assert shares[1] >= 0.5
    assert shares[2] >= 0.5


@pytest.mark.parametrize(
    "loads",
    [{0: 1.5, 2: 0.2}, {0: 1.5, 1: 0.2, 2: 0.2}, {0: 1.1, 1: 0.1, 2: 0.1}],
)
def test_no_class_is_served_below_a_quarter_of_all(loads: dict[int, float]) -> None:
    """Guards against less important calls that a full queue always refuses."""
    shares = serve(loads)
    total = sum(shares[each] * loads[each] for each in loads) / sum(loads.values())
    assert min(shares.values()) >= 0.25 * total


def test_a_full_queue_keeps_an_eighth_for_the_other_buckets() -> None:
    queue = limits.FairAdmissionQueue(32)
    first = [make_entry(0) for _ in range(32)]
    for entry in first:
        queue.push(entry)
    low = [make_entry(3) for _ in range(2)]
    middle = [make_entry(1) for _ in range(2)]
    evicted = [queue.push(entry) for entry in (*low, *middle)]
    assert evicted == first[:27:-1]
    # Beyond its part of the eighth, each bucket makes room for more important ones.
    for priority_class in (3, 1, 0):
        late = make_entry(priority_class)
        assert queue.push(late) is late
    # With one more bucket, the parts are smaller.
    evicted = [queue.push(make_entry(0, is_nested=True)) for _ in range(3)]
    assert evicted == [low[1], middle[1], first[27]]
    assert len(queue) == 32


def test_more_important_entries_are_evicted_before_the_part_of_later_ones() -> None:
    queue = limits.FairAdmissionQueue(16)
    low = [make_entry(3) for _ in range(16)]
    for entry in low:
        queue.push(entry)
    for number in range(14):
        assert queue.push(make_entry(0)) is low[15 - number]
    refused = make_entry(0)
    assert queue.push(refused) is refused


def test_the_team_whose_turn_is_next_is_not_evicted_on_a_tie() -> None:
    """Guards against a team that loses the calls that would have started next."""
    queue = limits.FairAdmissionQueue(6)
    entries = [make_entry(1, team) for team in "abcabc"]
    for entry in entries:
        queue.push(entry)
    assert queue.pop(False) is entries[0]
    newest = make_entry(1, "a")
    assert queue.push(newest) is None
    # It is the turn of "b", then of "c" and last of "a", with two entries each.
    assert queue.push(make_entry(0)) is newest
    assert queue.push(make_entry(0)) is entries[5]
