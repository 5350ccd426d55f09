"""Guards against a surge in one zone that overloads another zone at once."""

import random

import pytest

from jujubetiller import calls, clock, codes, routing, settings

ANSWERED = calls.CallAnswer(codes.Outcome.ANSWERED, codes.ResultCode.ANSWERED, 200)
FULL = calls.make_refusal(codes.ResultCode.QUEUE_FULL)

ROUTERS = 20
TICK_MS = 100
CALLS_PER_TICK = 200
CAPACITY = {"a": 100, "b": 100}
"""Calls per tick that a zone answers."""

OWN_LOAD_OF_B = 50


def run_surge(
    spill_step: float, spill_highest: float, ticks: int
) -> list[dict[str, tuple[int, int]]]:
    """Return, per tick and zone, the calls of zone a sent and answered."""
    manual_clock = clock.ManualClock()
    routing_settings = settings.RoutingSettings(
        spill_step=spill_step, spill_highest=spill_highest
    )
    instances = [
        routing.RoutableInstance(
            f"{zone}-{number}", "ledger", zone, "127.0.0.1", 1, 1, "boot"
        )
        for zone in CAPACITY
        for number in range(2)
    ]
    routers = []
    for seed in range(ROUTERS):
        router = routing.Router(
            manual_clock, random.Random(seed), routing_settings, "a"
        )
        router.update_instances(instances)
        routers.append(router)
    history = []
    for _ in range(ticks):
        free = {"a": CAPACITY["a"], "b": CAPACITY["b"] - OWN_LOAD_OF_B}
        sent = dict.fromkeys(CAPACITY, 0)
        answered = dict.fromkeys(CAPACITY, 0)
        for number in range(CALLS_PER_TICK):
            router = routers[number % ROUTERS]
            instance = router.choose("ledger").unwrap()
            zone = instance.zone
            fits = answered[zone] < free[zone]
            sent[zone] += 1
            answered[zone] += fits
            router.record_sent(instance)
            router.record_answer(instance, ANSWERED if fits else FULL, 10.0)
        history.append({zone: (sent[zone], answered[zone]) for zone in CAPACITY})
        manual_clock.advance(TICK_MS)
    return history


def check_no_overload(spill_step: float) -> None:
    second = 1_000 // TICK_MS
    history = run_surge(spill_step, spill_highest=0.8, ticks=30 * second)
    first_second = [tick["b"][0] for tick in history[:second]]
    free = CAPACITY["b"] - OWN_LOAD_OF_B
    assert max(first_second) < free, first_second
    changes = [
        abs(sum(t["b"][0] for t in after) - sum(t["b"][0] for t in before)) / second
        for before, after in zip(
            [history[i : i + second] for i in range(0, 280, second)],
            [history[i : i + second] for i in range(second, 290, second)],
            strict=True,
        )
    ]
    # A step of 5% of 200 calls is 10 calls; the rest is random variation.
    assert max(changes) < 20, changes


def test_a_surge_spills_slowly() -> None:
    check_no_overload(settings.RoutingSettings().spill_step)


def test_the_check_fails_when_the_share_moves_at_once() -> None:
    with pytest.raises(AssertionError):
        check_no_overload(spill_step=1.0)


def test_spilled_calls_use_the_free_capacity_of_the_other_zone() -> None:
    with_spill, without = (
        sum(answered for tick in history[100:] for _, answered in tick.values())
        for history in (run_surge(0.05, 0.8, 300), run_surge(0.05, 0.0, 300))
    )
    assert without == 200 * CAPACITY["a"]
    assert with_spill > 1.35 * without


def test_the_share_returns_when_the_surge_is_over() -> None:
    spill = routing.SpillShare(settings.RoutingSettings())
    for failed in (True, False):
        for second in range(30):
            for _ in range(100):
                spill.record(in_own_zone=True, failed=failed)
            share = spill.update((30 * (not failed) + second) * 1_000.0)
        assert share == pytest.approx(0.8 if failed else 0.0)
    spill.own_failure_rate = 1.0
    assert spill.update(10_000_000.0) == pytest.approx(0.05), "one step after a pause"
