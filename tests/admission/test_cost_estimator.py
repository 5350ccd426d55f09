"""Guards against nested calls attributed to kinds that do not make them."""

import random

import pytest

from jujubetiller import admission, clock
from jujubetiller.admission import _rate_fit, _weighted_call

STEP_MS = 2.0
TRUE_CALLS = {"page": 6.0, "note": 2.0, "ping": 0.0}
RUN_MS = {"page": 120.0, "note": 80.0, "ping": 60.0}


class Target:
    """A target whose requests make calls at random moments of their run."""

    def __init__(self, seed: int) -> None:
        self.clock = clock.ManualClock()
        self.random = random.Random(seed)
        self.estimator = admission.CostEstimator(self.clock, self.random)
        self.below = admission.CostTable(self.clock)
        self.running: list[tuple[str, float, float]] = []

    def play(self, seconds: float, per_s: dict[str, float], swing: float) -> None:
        """Run requests whose rates vary by ``swing``, each kind on its own."""
        factors = dict.fromkeys(per_s, 1.0)
        for step in range(int(seconds * 1_000.0 / STEP_MS)):
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            if step % 250 == 0:
                self.below.record("lookup", (("ledger", 20.0),))
                for kind in factors:
                    factors[kind] = 1.0 + swing * self.random.uniform(-1.0, 1.0)
            for kind, rate in per_s.items():
                if self.random.random() < rate * factors[kind] * STEP_MS / 1_000.0:
                    self.start(kind, 1)
            self.advance(now_ms)

    def play_together(self, seconds: float, kinds: tuple[str, ...]) -> None:
        """Run requests of all ``kinds`` that start and end at the same time."""
        for step in range(int(seconds * 1_000.0 / STEP_MS)):
            self.clock.advance(STEP_MS)
            if step % 30 == 0:
                self.below.record("lookup", (("ledger", 20.0),))
                for kind in kinds:
                    self.start(kind, 2, 100.0)
            self.advance(self.clock.now_ms())

    def start(self, kind: str, number: int, run_ms: float | None = None) -> None:
        now_ms = self.clock.now_ms()
        duration_ms = run_ms or RUN_MS[kind] * self.random.uniform(0.7, 1.3)
        for _ in range(number):
            self.estimator.record_start(kind)
            self.running.append((kind, now_ms, now_ms + duration_ms))

    def advance(self, now_ms: float) -> None:
        for item in tuple(self.running):
            kind, started_ms, ends_ms = item
            per_ms = TRUE_CALLS[kind] / (ends_ms - started_ms)
            if self.random.random() < per_ms * STEP_MS:
                self.estimator.record_call("lookup")
            if now_ms >= ends_ms:
                self.running.remove(item)
                self.estimator.record_end(kind, now_ms - started_ms, True)

    def cost_ms(self, kind: str) -> float | None:
        """Return the estimated cost at the ledger, None if it is not reliable."""
        costs = self.estimator.estimate("booth", kind, self.below)
        return None if costs is None else costs.get("ledger", 0.0)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("swing", [0.2, 0.9])
def test_calls_are_attributed_to_the_kinds_that_make_them(
    seed: int, swing: float
) -> None:
    target = Target(seed)
    target.play(30.0, {"page": 20.0, "note": 30.0, "ping": 40.0}, swing)
    page, note, ping = (target.cost_ms(kind) for kind in ("page", "note", "ping"))
    assert page is not None and page == pytest.approx(120.0, rel=0.25)
    assert note is not None and note == pytest.approx(40.0, rel=0.6)
    assert ping is not None and ping <= 15.0


def test_kinds_that_run_together_are_not_used() -> None:
    target = Target(4)
    target.play_together(30.0, ("page", "note"))
    assert target.cost_ms("page") is None
    assert target.cost_ms("note") is None


def test_kinds_are_distinguished_once_they_run_apart() -> None:
    target = Target(5)
    target.play_together(10.0, ("page", "note"))
    target.play(40.0, {"page": 20.0, "note": 20.0}, 0.5)
    assert target.cost_ms("page") == pytest.approx(120.0, rel=0.25)


def test_few_samples_are_not_used() -> None:
    target = Target(6)
    target.play(20.0, {"page": 20.0}, 0.3)
    target.start("note", 3)
    target.play(0.2, {"page": 20.0}, 0.3)
    assert target.cost_ms("note") is None
    assert target.cost_ms("page") is not None


def test_kind_that_disappears_leaves_the_others_right() -> None:
    target = Target(7)
    target.play(20.0, {"page": 20.0, "note": 30.0}, 0.5)
    target.play(60.0, {"note": 30.0}, 0.5)
    assert target.cost_ms("page") is None
    assert target.cost_ms("note") == pytest.approx(40.0, rel=0.25)


def test_changed_calls_are_followed(monkeypatch: pytest.MonkeyPatch) -> None:
    target = Target(8)
    target.play(20.0, {"page": 20.0, "ping": 20.0}, 0.5)
    monkeypatch.setitem(TRUE_CALLS, "page", 2.0)
    target.play(50.0, {"page": 20.0, "ping": 20.0}, 0.5)
    assert target.cost_ms("page") == pytest.approx(40.0, rel=0.35)


def test_costs_of_unknown_calls_make_the_estimate_unknown() -> None:
    target = Target(9)
    target.play(10.0, {"page": 20.0}, 0.3)
    empty = admission.CostTable(target.clock)
    assert target.estimator.estimate("booth", "page", empty) is None


def test_fits_are_bounded_for_many_kinds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against fits that block the event loop for tens of milliseconds."""
    time_source = clock.ManualClock()
    estimator = admission.CostEstimator(time_source, random.Random(3))
    fits: list[tuple[int, int]] = []
    refine_rates = _rate_fit.refine_rates

    def record(
        rates: dict[str, float],
        exposures: dict[str, float],
        events: list[_weighted_call.WeightedCall],
        count: float,
    ) -> _rate_fit.RateFit:
        fits.append((len(rates), len(events)))
        assert all(event.running.keys() <= rates.keys() for event in events)
        return refine_rates(rates, exposures, events, count)

    monkeypatch.setattr(_rate_fit, "refine_rates", record)
    for number in range(3_000):
        kind = f"kind-{number % 64 if number % 3 else 0}"
        estimator.record_start(kind)
        time_source.advance(20.0)
        estimator.record_call("lookup")
        estimator.record_end(kind, 20.0, True)
        estimator.update_if_due()
    assert max(kinds for kinds, _ in fits) == 16
    assert max(events * (kinds * kinds + 30) for kinds, events in fits) <= 40_000
    # The kinds of least exposure are fitted as one, and their costs are unknown.
    below = admission.CostTable(time_source)
    below.record("lookup", (("roster", 22.0),))
    assert estimator.calls_per_request("kind-0")["lookup"] == pytest.approx(1, rel=0.3)
    known = [f"kind-{n}" in estimator.calls["lookup"].errors for n in range(64)]
    assert sum(known) == 15
    assert estimator.estimate("booth", "kind-0", below) is not None
