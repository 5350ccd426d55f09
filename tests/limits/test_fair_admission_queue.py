"""Guards against lost entries and starved classes in the fair queue."""

import pytest

from jujubetiller import calls, limits


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
