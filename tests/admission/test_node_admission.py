"""Guards against wrong shares, reports that outlive their reason, and lost teams."""

import random

import logbook
import pytest

from jujubetiller import admission, calls, clock, codes, limits, settings

_Code = codes.ResultCode
Offer = admission.Offer


def make_node(service: str = "booth") -> admission.NodeAdmission:
    time_source = clock.ManualClock(1_000.0)
    guard = limits.build_guard(
        time_source,
        settings.LimitSettings(policy="fixed", slots=4, queue_wait_ms=400),
    )
    return admission.NodeAdmission(time_source, random.Random(3), guard, service)


def make_answer(**fields: object) -> calls.CallAnswer:
    answer = calls.CallAnswer(codes.Outcome.ANSWERED, _Code.ANSWERED, status=200)
    for name, value in fields.items():
        setattr(answer, name, value)
    return answer


def advance(node: admission.NodeAdmission, duration_ms: float) -> None:
    assert isinstance(node.clock, clock.ManualClock)
    node.clock.advance(duration_ms)


@pytest.mark.parametrize(
    ("offers", "fraction", "floor", "expected"),
    [
        pytest.param(
            [Offer("a", "", 1, 10.0, 10.0), Offer("b", "", 0, 10.0, 10.0)],
            0.5,
            0.0,
            {("a", ""): 0.0, ("b", ""): 1.0},
            id="class first",
        ),
        pytest.param(
            [Offer("a", "", 1, 10.0, 30.0), Offer("b", "", 1, 10.0, 10.0)],
            0.5,
            0.0,
            {("a", ""): 1.0 / 3.0, ("b", ""): 1.0},
            id="smaller cost first",
        ),
        pytest.param(
            [Offer("a", "hot", 1, 90.0, 1.0), Offer("a", "cold", 1, 10.0, 1.0)],
            0.5,
            0.0,
            {("a", "hot"): 40.0 / 90.0, ("a", "cold"): 1.0},
            id="fair between teams",
        ),
        pytest.param(
            [Offer("a", "", 0, 10.0, 10.0), Offer("b", "", 1, 10.0, 10.0)],
            0.5,
            0.2,
            {("a", ""): 0.8, ("b", ""): 0.2},
            id="floor",
        ),
        pytest.param(
            [Offer("a", "", 0, 10.0, 10.0), Offer("b", "", 1, 10.0, 10.0)],
            0.1,
            0.3,
            {("a", ""): 0.1, ("b", ""): 0.1},
            id="floors over the fraction",
        ),
    ],
)
def test_allocation(
    offers: list[admission.Offer],
    fraction: float,
    floor: float,
    expected: dict[tuple[str, str], float],
) -> None:
    shares = admission.allocate(offers, fraction, floor)
    assert shares == pytest.approx(expected)


def test_load_factor_falls_with_offered_work_and_rises_with_room() -> None:
    time_source = clock.ManualClock()
    load = admission.TargetLoad(time_source)

    def play(windows: int, offered_ms: float, shed: int = 0) -> None:
        for _ in range(windows):
            time_source.advance(150.0)
            load.record_offer(offered_ms)
            for number in range(10):
                load.record_end(number >= shed)
            load.close_window(4, 0, 20.0)

    play(5, 300.0)
    assert load.read() is None
    play(20, 900.0)
    assert load.read() == pytest.approx(0.92 / 1.5, rel=0.02)
    play(20, 300.0)
    assert load.read() == pytest.approx(1.3)
    play(20, 480.0, shed=4)
    assert load.read() == pytest.approx(0.6, rel=0.02)
    # A nearly idle target that sheds would shed as many of fewer calls.
    play(20, 100.0, shed=4)
    assert load.read() == pytest.approx(1.3)
    play(70, 300.0)
    assert load.read() is None


@pytest.mark.parametrize(
    ("limit_per_s", "least", "most"),
    [(20.0, 0.5, 0.5), (75.0, 0.85, 0.95), (1_000.0, 1.3, 1.3), (None, 1.3, 1.3)],
)
def test_load_factor_follows_the_rate_limit_that_a_target_names(
    limit_per_s: float | None, least: float, most: float
) -> None:
    """Guards against requests admitted whose calls the rate limit refuses."""
    node = make_node()
    if limit_per_s is not None:
        node.guard.rate_limit.record_named(limit_per_s)
    for _ in range(500):
        entry = make_entry("call", [], [])
        node.guard.submit(entry)
        advance(node, 1.0)
        node.guard.finished(entry, True)
        advance(node, 9.0)
    assert least - 0.001 <= node.load.factor <= most + 0.001
    assert (node.load.read() is None) is (least > 1.0)


def test_trial_of_a_lower_limit_does_not_raise_the_load() -> None:
    """Guards against entry nodes that refuse requests because a limit is on trial."""
    time_source = clock.ManualClock(1_000.0)
    guard = limits.build_guard(
        time_source,
        settings.LimitSettings(policy="fixed", slots=20),
        settings.FeatureSettings(target_limit="learned"),
    )
    node = admission.NodeAdmission(time_source, random.Random(3), guard, "booth")
    policy = guard.policy
    assert isinstance(policy, limits.LearnedLimitPolicy)
    policy.limit = 20.0

    def play(windows: int) -> float:
        for _ in range(windows):
            time_source.advance(150.0)
            node.load.record_offer(0.9 * 20.0 * 150.0)
            guard.limit = min(guard.slots, policy.current_limit())
            node.close_window()
        return node.load.load

    assert play(20) == pytest.approx(0.9, rel=0.01)
    policy._begin_trial(2.0)
    assert play(20) == pytest.approx(0.9, rel=0.01)
    assert guard.limit == 15
    # A limit that is lowered for good counts.
    assert policy.trial is not None
    policy._end_trial(policy.trial.low)
    assert play(20) == pytest.approx(1.2, rel=0.01)


def test_reports_are_handed_up_only_from_nested_calls() -> None:
    node = make_node()
    answer = make_answer(loads=(("ledger", 0.6),))
    node.record_answer("client-route", answer, False)
    up = make_answer()
    node.add_to_answer("page", up)
    assert up.loads == ()
    node.record_answer("lookup", answer, True)
    node.add_to_answer("page", up)
    assert up.loads == (("ledger", 0.6),)
    advance(node, 500.0)
    node.add_to_answer("page", up)
    assert up.loads == ()


def test_costs_are_not_sent_with_each_answer() -> None:
    node = make_node()
    for _ in range(40):
        node.estimator.record_start("page")
        advance(node, 10.0)
        node.estimator.record_end("page", 10.0, True)
    sent = [node.choose_costs("page") for _ in range(264)]
    assert all(costs == (("booth", 10.0),) for costs in sent[:64])
    assert sum(bool(costs) for costs in sent[64:]) == 25


def test_costs_that_are_unknown_now_and_then_are_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a log line and 64 answers with costs for each such change."""
    node = make_node()
    known: dict[str, float] | None = {"booth": 10.0}
    monkeypatch.setattr(node.estimator, "estimate", lambda *_: known)
    with logbook.TestHandler() as handler:
        for _ in range(20):
            assert node.choose_costs("page") == (("booth", 10.0),)
            known = None
            advance(node, 500.0)
            assert node.choose_costs("page") == (("booth", 10.0),)
            known = {"booth": 10.0}
            advance(node, 500.0)
        assert len(handler.records) == 1
        known = None
        for _ in range(12):
            advance(node, 500.0)
            node.choose_costs("page")
        assert len(handler.records) == 2
    assert node.choose_costs("page") == ()


def test_request_of_a_route_without_costs_is_left_to_the_throttle() -> None:
    node = make_node()
    decide = node.entry.decide
    assert decide("page", 1, "") is admission.Decision.UNKNOWN
    node.record_answer("page", make_answer(costs=(("ledger", 80.0),)), False)
    assert decide("page", 1, "") is admission.Decision.ADMIT
    advance(node, 61_000.0)
    assert decide("page", 1, "") is admission.Decision.UNKNOWN


def test_share_follows_reports_and_returns_without_them() -> None:
    node = make_node()
    costs = (("ledger", 80.0),)
    for _ in range(100):
        node.record_answer(
            "page", make_answer(costs=costs, loads=(("ledger", 0.5),)), False
        )
        node.entry.decide("page", 1, "")
        advance(node, 50.0)
    assert node.entry.share_of("page", "") < 0.2
    assert node.entry.refused > 0
    for _ in range(160):
        node.entry.decide("page", 1, "")
        advance(node, 50.0)
    assert node.entry.share_of("page", "") == 1.0


def test_many_rare_teams_of_the_last_class_are_not_all_admitted() -> None:
    """Guards against teams that are admitted because their rate was forgotten."""
    node = make_node()
    refused = {"page": 0, "note": 0}
    for number in range(2_000):
        for route, priority_class in (("page", 1), ("note", 2)):
            answer = make_answer(costs=(("ledger", 80.0),), loads=(("ledger", 1.0),))
            node.record_answer(route, answer, False)
            node.entry.fractions["ledger"] = node.entry.lagged["ledger"] = 0.6
            team = f"team-{number}"
            decision = node.entry.decide(route, priority_class, team)
            refused[route] += decision is admission.Decision.REFUSE
        advance(node, 50.0)
    assert refused["page"] < 100
    assert refused["note"] > 1_000


@pytest.mark.parametrize("is_top_last", [True, False])
def test_rare_teams_of_one_route_get_the_share_of_their_own_class(
    is_top_last: bool,
) -> None:
    """Guards against rare teams of the top class refused as those of the last one."""
    node = make_node()
    refused = {0: 0, 3: 0}
    for number in range(2_000):
        for priority_class in sorted(refused, reverse=is_top_last):
            answer = make_answer(costs=(("ledger", 80.0),), loads=(("ledger", 1.0),))
            node.record_answer("page", answer, False)
            node.entry.fractions["ledger"] = node.entry.lagged["ledger"] = 0.6
            team = f"team-{priority_class}-{number}"
            decision = node.entry.decide("page", priority_class, team)
            refused[priority_class] += decision is admission.Decision.REFUSE
        advance(node, 50.0)
    assert refused[0] < 100
    assert refused[3] > 1_000


def test_offers_beyond_the_bound_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("jujubetiller.admission._entry_admission.MAX_KEYS", 3)
    node = make_node()
    for number in range(10):
        node.entry.decide("page", 1, f"team-{number}")
    assert len(node.entry.offered) == 3
    assert node.entry.over_bound == 7
    # Teams of another class do not change the class of those that are treated as one.
    node.entry.decide("page", 2, "team-11")
    assert len(node.entry.offered) == 3
    classes = [one.priority_class for one in node.entry.offered.values()]
    assert sorted(classes) == [1, 1, 2]


def test_queue_is_bounded_by_the_time_that_callers_wait() -> None:
    node = make_node()
    guard = node.guard
    assert guard.queue.capacity == 64
    guard.mean_run_ms = 100.0
    node.close_window()
    assert guard.queue.capacity == 16
    guard.mean_run_ms = 1.0
    node.close_window()
    assert guard.queue.capacity == 64


def make_entry(
    name: str,
    starts: list[str],
    refusals: list[str],
    team: str = "",
    priority_class: int = 1,
    is_nested: bool = False,
) -> limits.GuardEntry:
    return limits.GuardEntry(
        rank=priority_class * limits.RANKS_PER_CLASS,
        depth=0,
        deadline=calls.Deadline(1e9),
        start=lambda: starts.append(name),
        refuse=lambda code: refusals.append(f"{name} {code.name}"),
        team=team,
        is_nested=is_nested,
    )


def test_queue_serves_class_then_nested_calls_then_teams_in_turn() -> None:
    guard = make_node().guard
    starts: list[str] = []
    running = [make_entry(f"run-{n}", starts, []) for n in range(4)]
    waiting = [
        make_entry("hot-1", starts, [], "hot"),
        make_entry("hot-2", starts, [], "hot"),
        make_entry("hot-3", starts, [], "hot"),
        make_entry("cold-1", starts, [], "cold"),
        make_entry("nested", starts, [], is_nested=True),
        make_entry("urgent", starts, [], "hot", priority_class=0),
        make_entry("low", starts, [], "cold", priority_class=2),
    ]
    for entry in (*running, *waiting):
        guard.submit(entry)
    del starts[:4]
    for entry in (*running, *waiting):
        guard.finished(entry, True)
    assert starts == ["urgent", "nested", "hot-1", "cold-1", "hot-2", "hot-3", "low"]


def test_each_eighth_start_is_of_the_least_important_bucket() -> None:
    queue = limits.FairAdmissionQueue(100)
    for number in range(20):
        queue.push(make_entry(f"high-{number}", [], []))
    queue.push(make_entry("low", [], [], priority_class=2))
    popped = [queue.pop(False) for _ in range(8)]
    classes = [entry.rank // limits.RANKS_PER_CLASS for entry in popped if entry]
    assert classes == [1] * 7 + [2]


def test_full_queue_evicts_the_newest_of_the_team_with_most() -> None:
    node = make_node()
    guard = node.guard
    guard.queue.capacity = 4
    starts: list[str] = []
    refusals: list[str] = []
    for name, team in (
        *((f"run-{n}", "") for n in range(4)),
        *((f"hot-{n}", "hot") for n in range(4)),
        ("cold", "cold"),
        ("hot-4", "hot"),
    ):
        guard.submit(make_entry(name, starts, refusals, team))
    guard.submit(make_entry("low", starts, refusals, priority_class=2))
    guard.submit(make_entry("urgent", starts, refusals, priority_class=0))
    assert refusals == [
        "hot-3 QUEUE_EVICTED",
        "hot-4 QUEUE_FULL",
        "low QUEUE_FULL",
        "hot-2 QUEUE_EVICTED",
    ]
