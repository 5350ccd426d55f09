"""Guards against a learned limit that costs throughput or stays beyond a knee.

Each case plays an overload against the product's guard, with the fixed and with the
learned limit, and compares the calls that the target completes.
"""

from collections.abc import Callable

import attrs
import pytest

from jujubetiller import clock, limits, settings
from tests import load_model

SLOTS = 27
SEEDS = (0, 1, 2)
MIXED = (("short", 15.0), ("long", 200.0))
KNEE = SLOTS / 2


@attrs.frozen
class Load:
    """What a target is offered and how it responds."""

    slowness: Callable[[float], float] = lambda now_ms: 1.0
    contention: Callable[[int], float] = lambda in_flight: 1.0
    fails: Callable[[float], float] = lambda now_ms: 0.0
    slots: int = SLOTS
    offered: float = 3.0
    kinds: tuple[tuple[str, float], ...] = MIXED


def play(
    load: Load, target_limit: str, seed: int, until_ms: float = 15_000.0
) -> load_model.Target:
    """Return the target after the load, with the calls completed since 3 s."""
    events = load_model.Events(seed)
    target = load_model.Target(
        events, load.slots, target_limit, load.slowness, load.contention, load.fails
    )
    mean_ms = 1.18 * sum(work_ms for _, work_ms in load.kinds) / len(load.kinds)
    rate_per_s = load.offered * load.slots / mean_ms * 1_000.0

    def begin(code: object) -> None:
        kind, work_ms = events.random.choice(load.kinds)
        target.submit(kind, work_ms, lambda code: None)

    events.arrive(lambda now_ms: rate_per_s, begin)
    events.run(3_000.0)
    target.completed = 0
    events.run(until_ms)
    return target


def compare(load: Load) -> float:
    """Return the calls completed with the learned limit relative to the fixed one."""
    counts = [
        sum(play(load, target_limit, seed).completed for seed in SEEDS)
        for target_limit in ("learned", "fixed")
    ]
    return counts[0] / counts[1]


@pytest.mark.parametrize(
    ("load", "least"),
    [
        (Load(), 0.95),
        (Load(kinds=(("only", 60.0),)), 0.97),
        (Load(kinds=(("only", 60.0),), slots=6), 0.95),
        (Load(slowness=lambda now_ms: 3.0 if 4e3 < now_ms < 8e3 else 1.0), 0.94),
        (Load(slowness=lambda now_ms: 2.0 if now_ms < 3e3 else 1.0), 0.95),
        (Load(slowness=lambda now_ms: 2.5 if now_ms % 3e3 < 600 else 1.0), 0.93),
        (Load(slowness=lambda now_ms: 4.0 if now_ms > 5e3 else 1.0), 0.94),
        (Load(fails=lambda now_ms: 0.2 if now_ms > 4e3 else 0.0), 0.94),
        (Load(offered=0.7), 0.95),
        (Load(slots=6, kinds=(("only", 800.0),)), 0.9),
        (Load(slots=27, kinds=(("only", 1_500.0),)), 0.9),
        (Load(contention=lambda calls: 1.3 if calls > 0.95 * SLOTS else 1.0), 0.96),
        (Load(contention=lambda calls: max(1.0, calls / KNEE)), 0.95),
    ],
    ids=[
        "all slots well",
        "one kind",
        "few slots",
        "slower machine and back",
        "cold start",
        "noise of 600 ms",
        "nested calls become slow",
        "a fifth of the calls fails",
        "less than its slots",
        "few slots and long calls",
        "calls of 1.5 s",
        "knee at 95%",
        "knee at half, equal throughput beyond",
    ],
)
def test_the_learned_limit_costs_hardly_any_throughput(
    load: Load, least: float
) -> None:
    """Guards against a limit lowered by slow-downs that fewer calls don't cure."""
    assert compare(load) > least


@pytest.mark.parametrize(("slots", "work_ms"), [(6, 800.0), (27, 1_500.0), (3, 4e3)])
def test_the_limit_reaches_the_slots_of_a_target_with_long_calls(
    slots: int, work_ms: float
) -> None:
    """Guards against windows too short for any sample, which never raise the limit.

    Half of the slots stayed unused: the limit was 3 of 6, and 13 of 27.
    """
    load = Load(slots=slots, kinds=(("only", work_ms),))
    assert play(load, "learned", 0, 30_000.0).guard.limit == slots


def test_a_knee_is_found_with_long_calls() -> None:
    """Guards against windows that end before the calls of a trial do."""
    load = Load(
        contention=lambda calls: max(1.0, (calls / KNEE) ** 2),
        kinds=(("only", 600.0),),
    )
    counts = [play(load, each, 0, 60e3).completed for each in ("learned", "fixed")]
    print(counts)  # Shown with ``pytest -s``.
    assert counts[0] > 1.2 * counts[1]


@pytest.mark.parametrize("offered", [0.6, 3.0])
def test_a_target_that_collapses_beyond_half_of_its_slots_completes_more(
    offered: float,
) -> None:
    load = Load(contention=lambda calls: max(1.0, (calls / KNEE) ** 2), offered=offered)
    assert compare(load) > 1.4
    policy = play(load, "learned", seed=3).guard.policy
    assert 0.6 * KNEE < policy.current_limit() < 1.6 * KNEE


def test_the_limit_returns_within_three_seconds_after_a_knee_is_gone() -> None:
    """Guards against a limit that stays low after a target has recovered."""
    now_ms = 0.0

    def slowness(at_ms: float) -> float:
        nonlocal now_ms
        now_ms = at_ms
        return 1.0

    def contention(calls: int) -> float:
        return max(1.0, (calls / KNEE) ** 2) if now_ms < 8_000.0 else 1.0

    load = Load(slowness=slowness, contention=contention)
    assert play(load, "learned", 4, 8_000.0).guard.limit < 0.8 * SLOTS
    assert play(load, "learned", 4, 11_000.0).guard.limit >= 0.9 * SLOTS


def test_a_learned_limit_starts_at_half_of_the_slots_and_respects_them() -> None:
    """Guards against a limit above the declared slots, which arrive after the start."""
    guard = limits.build_guard(
        clock.ManualClock(),
        settings.LimitSettings(slots=100, policy="fixed"),
        settings.FeatureSettings(target_limit="learned"),
    )
    assert guard.limit == 50
    guard.set_slots(7)
    assert guard.limit == 3
    target = play(Load(), "learned", 0)
    target.guard.set_slots(5)
    assert target.guard.limit <= 5


def test_kinds_beyond_the_bound_share_a_baseline() -> None:
    policy = limits.LearnedLimitPolicy(2, 10)
    for number in range(300):
        policy.record(limits.LatencySample(at_ms=number, run_ms=5.0, kind=str(number)))
    assert len(policy.averages.baselines.by_kind) <= 257
    assert policy.read_values()["kinds_over_bound"] > 0


def test_room_counts_calls_in_progress_and_waiting() -> None:
    """Guards against reports of room that callers have filled already."""
    events = load_model.Events(1)
    target = load_model.Target(events, 2)
    assert limits.read_room(target.guard) == limits.RoomReport(2, 0)
    target.guard.mean_run_ms = 10.0
    for _ in range(5):
        target.submit("", 10.0, lambda code: None)
    assert limits.read_room(target.guard) == limits.RoomReport(-3, 20)


def test_a_trial_of_a_lower_limit_does_not_change_the_reported_room() -> None:
    """Guards against calls that leave a zone because its targets try a lower limit."""
    policy = limits.LearnedLimitPolicy(2, 20)
    guard = limits.build_guard(
        clock.ManualClock(), settings.LimitSettings(slots=20, policy="fixed")
    )
    guard.set_policy(policy)
    now_ms = 0.0
    for run_ms in (*(10.0,) * 400, *(40.0,) * 2_000):
        now_ms += 2.0
        limit = policy.current_limit()
        in_flight = limit
        policy.record(
            limits.LatencySample(now_ms, run_ms, kind="", in_flight=in_flight)
        )
        if policy.trial:
            break
    assert policy.current_limit() < limit
    guard.limit = policy.current_limit()
    assert limits.read_room(guard) == limits.RoomReport(limit, 0)
    guard.set_slots(5)
    assert limits.read_room(guard).room <= 5
