"""Guards against limits that stay low after an overload or high during one."""

from collections.abc import Callable

import pytest

from jujubetiller import calls, clock, limits, settings

ADAPTIVE = ["additive", "gradient"]
SLOTS = 100


class BusyTarget:
    """Keeps a guard busy in rounds of ``limit`` calls that end together."""

    def __init__(self, policy: str, slots: int = SLOTS) -> None:
        self.clock = clock.ManualClock(1_000)
        self.guard = limits.build_guard(
            self.clock, settings.LimitSettings(policy=policy, slots=slots)
        )

    def run_round(
        self, run_ms: float, nested_ms: float = 0.0, succeeded: bool = True
    ) -> None:
        running: list[limits.GuardEntry] = []
        for _ in range(self.guard.limit):
            entry = limits.GuardEntry(
                rank=0,
                depth=0,
                deadline=calls.Deadline.after(self.clock, 1e6),
                start=lambda: None,
                refuse=lambda code: None,
            )
            self.guard.submit(entry)
            running.append(entry)
        self.clock.advance(run_ms)
        for entry in running:
            entry.nested_ms = nested_ms
            self.guard.finished(entry, succeeded)

    def warm_up(self) -> None:
        for _ in range(30):
            self.run_round(20)


@pytest.mark.parametrize("policy", ADAPTIVE)
def test_a_limit_starts_low_and_reaches_the_slots_within_a_second(policy: str) -> None:
    target = BusyTarget(policy)
    assert target.guard.limit <= SLOTS // 4
    begun_ms = target.clock.now_ms()
    while target.guard.limit < SLOTS:
        target.run_round(20)
        assert target.clock.now_ms() - begun_ms < 1_000


@pytest.mark.parametrize("policy", ["fixed", *ADAPTIVE])
@pytest.mark.parametrize(
    "congest",
    [lambda target: target.run_round(100), lambda t: t.run_round(20, 0, False)],
)
def test_congestion_lowers_the_limit_and_its_end_restores_it(
    policy: str, congest: Callable[[BusyTarget], None]
) -> None:
    target = BusyTarget(policy)
    target.warm_up()
    for _ in range(6):
        congest(target)
    # The fixed policy shows that the check fails without adaptation.
    assert (target.guard.limit <= 0.7 * SLOTS) == (policy in ADAPTIVE)
    begun_ms = target.clock.now_ms()
    while target.guard.limit < 0.9 * SLOTS:
        target.run_round(20)
        assert target.clock.now_ms() - begun_ms < 2_000


@pytest.mark.parametrize("policy", ADAPTIVE)
@pytest.mark.parametrize(("nested_ms", "shrinks"), [(180, False), (0, True)])
def test_slow_nested_calls_do_not_lower_the_limit(
    policy: str, nested_ms: float, shrinks: bool
) -> None:
    target = BusyTarget(policy)
    target.warm_up()
    for _ in range(6):
        target.run_round(200, nested_ms)
    assert (target.guard.limit < SLOTS) == shrinks


@pytest.mark.parametrize("policy", ADAPTIVE)
def test_a_limit_stays_between_the_lowest_and_the_slots(policy: str) -> None:
    target = BusyTarget(policy, slots=10)
    for run_ms in (1, 500, 0, 1, 3_000, 2):
        for succeeded in (True, False) * 20:
            target.run_round(run_ms, 0, succeeded)
            assert 2 <= target.guard.limit <= 10
    target.guard.set_slots(1)
    assert target.guard.limit == 1


@pytest.mark.parametrize("policy", ADAPTIVE)
def test_a_slowdown_that_persists_at_a_low_limit_does_not_keep_it_low(
    policy: str,
) -> None:
    target = BusyTarget(policy)
    target.warm_up()
    for _ in range(60):
        target.run_round(80)
    assert target.guard.limit >= SLOTS // 2
