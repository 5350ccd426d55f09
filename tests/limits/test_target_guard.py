"""Guards against calls that start twice, never end, or run beyond the limit."""

import random
from typing import Any

import pytest

from jujubetiller import calls, clock, codes, limits, settings

_Code = codes.ResultCode


class Caller:
    """Submits entries to a guard and records their starts and refusals."""

    def __init__(self, **limit_settings: Any) -> None:
        self.clock = clock.ManualClock(1_000)
        self.guard = limits.build_guard(
            self.clock, settings.LimitSettings(**({"policy": "fixed"} | limit_settings))
        )
        self.events: list[tuple[str, str]] = []
        self.entries: dict[str, limits.GuardEntry] = {}

    def submit(
        self, name: str, rank: int = 0, depth: int = 0, left_ms: float = 1_000
    ) -> limits.GuardEntry:
        entry = self.entries[name] = limits.GuardEntry(
            rank=rank,
            depth=depth,
            deadline=calls.Deadline.after(self.clock, left_ms),
            start=lambda: self.events.append((name, "start")),
            refuse=lambda code: self.events.append((name, code.name)),
        )
        self.guard.submit(entry)
        return entry

    def finish(self, name: str, succeeded: bool = True) -> None:
        self.guard.finished(self.entries[name], succeeded)


def started(caller: Caller) -> list[str]:
    return [name for name, event in caller.events if event == "start"]


@pytest.mark.parametrize(
    ("order", "expected"),
    [
        ("arrival", ["run", "low", "shallow", "deep", "high"]),
        ("priority", ["run", "high", "deep", "shallow", "low"]),
    ],
)
def test_the_queue_order_decides_which_entry_starts_next(
    order: str, expected: list[str]
) -> None:
    caller = Caller(slots=1, queue_order=order)
    caller.submit("run")
    for name, rank, depth in (
        ("low", 300, 5),
        ("shallow", 130, 0),
        ("deep", 140, 3),
        ("high", 1, 0),
    ):
        caller.submit(name, rank, depth)
    for name in expected:
        caller.finish(name)
    assert started(caller) == expected


def test_a_congested_queue_starts_the_newest_of_equal_entries() -> None:
    caller = Caller(slots=1, congestion_interval_ms=10, congested_wait_ms=50)
    caller.submit("run")
    caller.submit("old")
    caller.clock.advance(11)
    caller.submit("new")
    caller.finish("run")
    assert started(caller) == ["run", "new"]


def test_a_full_queue_evicts_the_least_important() -> None:
    caller = Caller(slots=1, queue_length=1)
    caller.submit("run")
    caller.submit("low", 300)
    caller.submit("high", 2)
    caller.submit("middle", 200)
    assert caller.events[1:] == [("low", "QUEUE_EVICTED"), ("middle", "QUEUE_FULL")]
    assert caller.guard.refusals[_Code.QUEUE_EVICTED] == 1


@pytest.mark.parametrize(
    ("left_ms", "run_ms", "wait_ms"),
    [(1_000, 1, 100), (50, 1, 50), (50, 30, 35)],
)
def test_an_expired_entry_is_refused_and_never_starts(
    left_ms: float, run_ms: float, wait_ms: float
) -> None:
    caller = Caller(slots=1, queue_wait_ms=100)
    caller.submit("first")
    caller.clock.advance(run_ms)
    caller.finish("first")
    caller.submit("run")
    caller.submit("waits", left_ms=left_ms)
    expiry_ms = caller.guard.next_expiry_ms()
    assert expiry_ms is not None
    assert expiry_ms - caller.clock.now_ms() == pytest.approx(wait_ms, abs=1)
    caller.clock.advance(expiry_ms - caller.clock.now_ms() - 0.5)
    caller.guard.expire()
    assert caller.guard.queue_length == 1
    caller.clock.advance(0.5)
    caller.guard.expire()
    caller.finish("run")
    assert caller.events[2:] == [("waits", "QUEUE_DEADLINE")]
    assert caller.guard.next_expiry_ms() is None


def test_a_cancelled_entry_never_starts_and_a_running_one_cannot_be_cancelled() -> None:
    caller = Caller(slots=1)
    running = caller.submit("run")
    waiting = caller.submit("waits")
    assert caller.guard.cancel(waiting)
    assert not caller.guard.cancel(waiting)
    assert not caller.guard.cancel(running)
    caller.finish("run")
    assert caller.events == [("run", "start")]


def test_a_drain_refuses_new_entries_and_runs_the_waiting_ones() -> None:
    caller = Caller(slots=1)
    caller.submit("run")
    caller.submit("waits")
    caller.guard.drain()
    caller.submit("late")
    caller.finish("run")
    assert caller.events[1:] == [("late", "DRAINING"), ("waits", "start")]


def test_more_slots_start_waiting_entries_and_fewer_slots_delay_them() -> None:
    caller = Caller(slots=1)
    for name in "abcd":
        caller.submit(name)
    caller.guard.set_slots(3)
    assert started(caller) == ["a", "b", "c"]
    caller.guard.set_slots(1)
    caller.finish("a")
    caller.finish("b")
    assert started(caller) == ["a", "b", "c"]


def test_callbacks_that_finish_at_once_do_not_nest() -> None:
    caller = Caller(slots=1, queue_length=5_000)
    caller.submit("run")

    def submit_finishing_at_start(number: int) -> None:
        entry = limits.GuardEntry(
            rank=0,
            depth=0,
            deadline=calls.Deadline.after(caller.clock, 1_000),
            start=lambda: caller.guard.finished(entry, True),
            refuse=lambda code: caller.events.append((str(number), code.name)),
        )
        caller.guard.submit(entry)

    for number in range(3_000):
        submit_finishing_at_start(number)
    caller.finish("run")
    assert caller.guard.queue_length == caller.guard.in_flight == 0
    assert len(caller.events) == 1


@pytest.mark.parametrize("policy", ["fixed", "additive", "gradient"])
@pytest.mark.parametrize("order", ["arrival", "priority"])
def test_every_entry_ends_once_and_the_slots_are_never_exceeded(
    policy: str, order: str
) -> None:
    source = random.Random(7)
    caller = Caller(policy=policy, queue_order=order, slots=5, queue_length=8)
    guard = caller.guard
    cancelled = 0
    for number in range(3_000):
        caller.submit(
            str(number),
            source.randrange(512),
            source.randrange(4),
            source.random() * 90,
        )
        caller.clock.advance(source.random() * 4)
        guard.expire()
        entry = source.choice(list(caller.entries.values())[-20:])
        if source.random() < 0.1:
            cancelled += guard.cancel(entry)
        elif source.random() < 0.9:
            guard.finished(entry, source.random() < 0.95)
        assert guard.in_flight <= 5
        assert 1 <= guard.limit <= 5
        assert guard.queue_length <= 8
    waiting = guard.queue_length
    assert len(caller.events) + cancelled + waiting == 3_000
    assert len({name for name, _ in caller.events}) == len(caller.events)


@pytest.mark.parametrize(
    ("congested_wait_ms", "code"), [(10, "QUEUE_DEADLINE"), (100, "start")]
)
def test_only_calls_above_the_level_get_the_short_wait_of_a_congested_queue(
    congested_wait_ms: int, code: str
) -> None:
    caller = Caller(slots=1, congested_wait_ms=congested_wait_ms)
    caller.guard.refusal_level.level = 130
    caller.guard.refusal_level.window_ends_ms = 1e6
    caller.submit("run")
    caller.submit("in use", 1)
    caller.clock.advance(99)
    caller.submit("still in use", 1)
    caller.clock.advance(2)
    caller.submit("above", 131)
    caller.submit("fits", 130)
    caller.clock.advance(20)
    caller.guard.expire()
    for name in ("run", "still in use", "fits", "above"):
        caller.finish(name)
    results = dict(caller.events)
    assert (results["fits"], results["above"]) == ("start", code)


def test_the_pressure_level_follows_the_capacity_and_ends_within_a_second() -> None:
    caller = Caller(slots=4, queue_length=4)
    guard = caller.guard
    assert guard.pressure_level() is None
    source = random.Random(3)
    running: list[limits.GuardEntry] = []
    levels = []
    for number in range(2_000):
        running.append(caller.submit(str(number), source.randrange(512)))
        caller.clock.advance(1)
        guard.expire()
        if number % 4 == 3:
            # One call ends for every four that are submitted.
            busy = [e for e in running if e.state is limits.EntryState.RUNNING]
            guard.finished(busy[0], True)
            running = busy[1:] + [e for e in running if e not in busy]
        if number > 1_000:
            levels.append(guard.pressure_level())
    known = [level for level in levels if level is not None]
    assert len(known) == len(levels)
    # A quarter of the calls can run; with the headroom of two, the level admits about
    # half of the 512 ranks.
    assert 192 < sum(known) / len(known) < 320
    assert min(known) >= 64
    for entry in running:
        guard.finished(entry, True)
    for _ in range(10):
        caller.clock.advance(100)
        guard.expire()
    assert guard.pressure_level() is None
