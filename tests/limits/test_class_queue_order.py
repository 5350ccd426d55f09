"""Guards against calls of an important team that wait behind those of another one."""

from jujubetiller import calls, limits


def make_entry(priority_class: int, sub_rank: int, depth: int = 0) -> limits.GuardEntry:
    entry = limits.GuardEntry(
        rank=priority_class * limits.RANKS_PER_CLASS + sub_rank,
        depth=depth,
        deadline=calls.Deadline(1_000.0),
        start=lambda: None,
        refuse=lambda code: None,
    )
    entry.expires_at_ms = 500.0
    return entry


def test_entries_start_by_class_and_then_in_the_order_of_arrival() -> None:
    queue = limits.AdmissionQueue(limits.ClassQueueOrder(), capacity=4)
    late, first, second = make_entry(2_048, 0), make_entry(1, 90), make_entry(1, 3)
    for entry in (late, first, second):
        assert queue.push(entry) is None
    assert [queue.pop(congested=True) for _ in range(3)] == [first, second, late]


def test_a_full_queue_refuses_the_least_important_class() -> None:
    queue = limits.AdmissionQueue(limits.ClassQueueOrder(), capacity=2)
    low, high = make_entry(2_048, 0), make_entry(0, 0)
    queue.push(low)
    queue.push(make_entry(1, 0))
    assert queue.push(high) is low
    equal = make_entry(1, 0)
    assert queue.push(equal) is equal
