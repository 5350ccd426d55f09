"""Bookings must be shed last when a fault removes half of the capacity.

It guards against shedding calls of high priority while others run.
"""

import pytest

from standins.fleet import local_fleet

SLOTS = 3
CALLS = 60
EVERY_MS = 20.0


def count_good(queue_order: str) -> dict[str, int]:
    """Kill one of two peers, overload the other and count the good answers."""
    fleet = local_fleet.Fleet(slots=SLOTS, queue_order=queue_order)
    fleet.wait_ready()
    fleet.kill("booth-1")
    kinds = {}
    for _ in range(CALLS):
        kinds |= {fleet.send(kind): kind for kind in ("look", "book")}
        fleet.network.run_for(EVERY_MS)
    fleet.run_to_end()
    assert fleet.find_broken_promises() == []
    good = {"look": 0, "book": 0}
    for marker, kind in kinds.items():
        good[kind] += fleet.ends[marker]["end"] == "good"
    return good


def is_shed_last(good: dict[str, int]) -> bool:
    """Return whether looks were refused and nearly every booking was answered."""
    return good["book"] >= 0.9 * CALLS > good["look"]


@pytest.mark.parametrize(
    ("queue_order", "expected"), [("priority", True), ("arrival", False)]
)
def test_bookings_are_shed_last(queue_order: str, expected: bool) -> None:
    """The check holds with the order by priority and fails without it."""
    good = count_good(queue_order)
    assert is_shed_last(good) is expected, good
