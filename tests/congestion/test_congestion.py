"""Guards against work that fails deep in the chain, and refusals without need."""

import random

import pytest

from jujubetiller import clock, congestion


def play(
    throttle: congestion.RouteThrottle,
    manual_clock: clock.ManualClock,
    room: float,
    delay_ms: float,
    seconds: int = 20,
) -> tuple[float, float]:
    """Offer 50 requests a second of which ``room`` fit.

    Returns the shares that were served and that failed in the last five seconds.
    """
    served = failed = offered = 0
    for second in range(seconds):
        admitted = 0
        for _ in range(50):
            manual_clock.advance(20)
            offered += second >= seconds - 5
            if not throttle.admits():
                continue
            admitted += 1
            fits = admitted <= room * (second % 1 + 1)
            throttle.record(0.0 if fits else 1.0, 0.0 if fits else delay_ms)
            if second >= seconds - 5:
                served += fits
                failed += not fits
    return served / offered, failed / offered


@pytest.mark.parametrize("room", [10, 25, 40])
def test_what_does_not_fit_is_refused_where_it_enters(room: int) -> None:
    """Answers the load in which a full service fails requests after their work."""
    manual_clock = clock.ManualClock()
    throttle = congestion.RouteThrottle(manual_clock, random.Random(3), 0.03)
    served, failed = play(throttle, manual_clock, room, 200.0)
    assert failed < 0.2
    assert served > 0.7 * room / 50


def test_failures_without_queues_refuse_nothing() -> None:
    """Answers the load of an instance that fails while it has room."""
    manual_clock = clock.ManualClock()
    throttle = congestion.RouteThrottle(manual_clock, random.Random(3), 0.03)
    play(throttle, manual_clock, 20, 0.0)
    assert throttle.share == 1.0


def test_all_are_admitted_soon_after_an_overload() -> None:
    manual_clock = clock.ManualClock()
    throttle = congestion.RouteThrottle(manual_clock, random.Random(3), 0.03)
    play(throttle, manual_clock, 10, 200.0)
    assert throttle.share < 0.6
    play(throttle, manual_clock, 50, 0.0, 6)
    assert throttle.share == 1.0


def test_the_least_important_route_is_cut_first() -> None:
    manual_clock = clock.ManualClock()
    throttles = congestion.Throttles(manual_clock, random.Random(3))
    important, other = throttles.find("book", 0), throttles.find("read", 2)
    for _ in range(400):
        manual_clock.advance(20)
        for throttle in (important, other):
            if throttle.admits():
                failed = throttle.random.random() < 0.15
                throttle.record(float(failed), 100.0)
    assert important.share > 0.95
    assert other.share < 0.7


def test_calls_of_instances_are_exempt() -> None:
    manual_clock = clock.ManualClock()
    throttle = congestion.RouteThrottle(manual_clock, random.Random(3), 0.03)
    throttle.exempt = True
    play(throttle, manual_clock, 10, 200.0, 5)
    assert all(throttle.admits() for _ in range(50))


def test_calls_that_come_from_few_services_are_nested() -> None:
    shares = congestion.CallerShares()
    for number in range(100):
        shares.record("read", "abcd"[number % 4])
        shares.record("tally", "a")
        shares.record("stage", "ab"[number % 2])
    assert not shares.is_nested("read", 4)
    assert shares.is_nested("tally", 4)
    assert shares.is_nested("stage", 4)
    assert not shares.is_nested("unknown", 4)
    assert not shares.is_nested("tally", 1)
