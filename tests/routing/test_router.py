"""Guards against calls to instances that leave, are new, fail or are unreachable."""

import collections
import random

import attrs
import pytest

from jujubetiller import calls, clock, codes, routing, settings

Code = codes.ResultCode
ANSWERED = calls.CallAnswer(codes.Outcome.ANSWERED, Code.ANSWERED, status=200)
FAILED = attrs.evolve(ANSWERED, status=500)
LOST = calls.make_refusal(Code.STREAM_LOST)
SETTINGS = settings.RoutingSettings()


def make_instance(name: str, **changes: object) -> routing.RoutableInstance:
    """Return an instance whose name starts with its zone."""
    instance = routing.RoutableInstance(
        name, "ledger", name.partition("-")[0], "127.0.0.1", 1, 1, "boot"
    )
    return attrs.evolve(instance, **changes)  # type: ignore[arg-type]


def make_router(
    manual_clock: clock.ManualClock,
    *names: str,
    routing_settings: settings.RoutingSettings = SETTINGS,
    router_class: type[routing.Router] = routing.Router,
) -> routing.Router:
    router = router_class(manual_clock, random.Random(5), routing_settings, "a")
    router.update_instances(make_instance(name) for name in names)
    return router


def send_calls(
    router: routing.Router,
    count: int,
    answers: dict[str, tuple[calls.CallAnswer, float]] | None = None,
) -> dict[str, float]:
    """Return the share of ``count`` successive calls that each instance got."""
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        instance = router.choose("ledger").unwrap()
        counts[instance.instance] += 1
        answer, took_ms = (answers or {}).get(instance.instance, (ANSWERED, 10.0))
        router.record_sent(instance)
        router.record_answer(instance, answer, took_ms)
    return {name: number / count for name, number in counts.items()}


def test_the_own_zone_comes_first_and_others_when_it_is_excluded() -> None:
    router = make_router(clock.ManualClock(), "a-1", "b-1", "c-1")
    assert send_calls(router, 50) == {"a-1": 1.0}
    others = {
        router.choose("ledger", frozenset({"a-1"})).unwrap().instance for _ in range(50)
    }
    assert others == {"b-1", "c-1"}
    for service, excluded in (("ledger", {"a-1", "b-1", "c-1"}), ("unknown", set())):
        refused = router.choose(service, frozenset(excluded))
        assert refused.unwrap_err() is Code.NO_INSTANCE
    assert router.no_instance_refusals == 2


@pytest.mark.parametrize(
    ("answer", "took_ms", "highest_share"),
    [
        (ANSWERED, 10.0, 0.4),
        (ANSWERED, 40.0, 0.15),
        (calls.make_refusal(Code.QUEUE_FULL), 0.1, 0.15),
        (FAILED, 0.1, 0.15),
        (LOST, 1.0, 0.15),
    ],
)
def test_slow_or_failing_instances_get_fewer_calls(
    answer: calls.CallAnswer, took_ms: float, highest_share: float
) -> None:
    router = make_router(clock.ManualClock(), "a-1", "a-2", "a-3", "a-4")
    share = send_calls(router, 1_000, {"a-1": (answer, took_ms)}).get("a-1", 0.0)
    assert share <= highest_share
    if answer is ANSWERED and took_ms == 10.0:
        assert share > 0.1


def test_busy_instances_get_fewer_calls_and_old_samples_decay() -> None:
    manual_clock = clock.ManualClock()
    router = make_router(manual_clock, "a-1", "a-2")
    busy = make_instance("a-1")
    for _ in range(5):
        router.record_sent(busy)
    assert send_calls(router, 100).get("a-1", 0.0) < 0.1
    for _ in range(5):
        router.record_answer(busy, calls.make_refusal(Code.TARGET_SHED), 1.0)
    assert send_calls(router, 100).get("a-1", 0.0) < 0.1
    manual_clock.advance(60_000)
    assert send_calls(router, 200)["a-1"] > 0.2


class RouterThatIgnoresLeaving(routing.Router):
    class Pool(routing.SpillingPool):
        def is_eligible(self, stats: routing.InstanceStats) -> bool:
            return True

    pool_class = Pool


def check_leaving(router_class: type[routing.Router]) -> None:
    router = make_router(clock.ManualClock(), "a-1", "a-2", router_class=router_class)
    router.mark_leaving(make_instance("a-1"))
    draining = calls.make_refusal(Code.DRAINING)
    router.record_answer(make_instance("a-1"), draining, 1.0)
    # The published list is outdated and doesn't have the instance as leaving yet.
    router.update_instances([make_instance("a-1"), make_instance("a-2")])
    assert send_calls(router, 100) == {"a-2": 1.0}
    router.update_instances([make_instance("a-1", incarnation=2, leaving=True)])
    assert router.choose("ledger").is_err()
    router.update_instances([make_instance("a-1", incarnation=3)])
    assert send_calls(router, 10) == {"a-1": 1.0}


def test_a_leaving_incarnation_gets_nothing() -> None:
    check_leaving(routing.Router)


def test_the_leaving_check_fails_without_the_mechanism() -> None:
    with pytest.raises(AssertionError):
        check_leaving(RouterThatIgnoresLeaving)


def check_slow_start(slow_start_ms: int) -> None:
    manual_clock = clock.ManualClock()
    names = ["a-1", "a-2", "a-3", "a-4"]
    router = make_router(
        manual_clock,
        *names,
        routing_settings=attrs.evolve(SETTINGS, slow_start_ms=slow_start_ms),
    )
    send_calls(router, 400)
    router.update_instances(make_instance(name) for name in [*names, "a-5"])
    shares = []
    for _ in range(3):
        shares.append(send_calls(router, 1_000).get("a-5", 0.0))
        manual_clock.advance(5_000)
    assert shares[0] < 0.05
    assert shares[0] < shares[1] < 0.3
    assert 0.1 < shares[2] < 0.3
    # A new incarnation starts slowly again.
    router.update_instances(
        [make_instance("a-5", incarnation=2), *map(make_instance, names)]
    )
    assert send_calls(router, 1_000).get("a-5", 0.0) < 0.05


def test_a_new_incarnation_starts_slowly() -> None:
    check_slow_start(10_000)


def test_the_slow_start_check_fails_without_the_mechanism() -> None:
    with pytest.raises(AssertionError):
        check_slow_start(0)


def test_an_unreachable_instance_gets_one_call_per_probe_interval() -> None:
    manual_clock = clock.ManualClock()
    router = make_router(manual_clock, "a-1", "a-2")
    unreachable_instance = make_instance("a-1")
    unreachable = calls.make_refusal(Code.PEER_UNREACHABLE)
    router.mark_unreachable(unreachable_instance)
    assert send_calls(router, 100) == {"a-2": 1.0}
    for _ in range(3):
        manual_clock.advance(SETTINGS.probe_ms)
        shares = send_calls(router, 100, {"a-1": (unreachable, 1.0)})
        assert shares == {"a-1": 0.01, "a-2": 0.99}
    manual_clock.advance(SETTINGS.probe_ms)
    assert router.choose("ledger").unwrap() == unreachable_instance
    router.record_sent(unreachable_instance)
    router.record_answer(unreachable_instance, ANSWERED, 1.0)
    assert send_calls(router, 200)["a-1"] > 0.1
    router.mark_unreachable(unreachable_instance)
    router.mark_reachable(unreachable_instance)
    assert send_calls(router, 200)["a-1"] > 0.1


def test_late_answers_of_an_earlier_incarnation_change_nothing() -> None:
    router = make_router(clock.ManualClock(), "a-1")
    old = make_instance("a-1")
    router.record_sent(old)
    router.update_instances([make_instance("a-1", incarnation=2)])
    router.mark_unreachable(old)
    router.mark_leaving(old)
    router.record_answer(old, LOST, 1.0)
    assert router.choose("ledger").unwrap().incarnation == 2
    router.update_instances([])
    assert router.choose("ledger").is_err()


def test_a_restarted_process_of_the_same_incarnation_gets_calls_again() -> None:
    # A node without a disk starts at incarnation 1 again; its boot id is new.
    first, second = (make_instance("a-1", boot_id=boot_id) for boot_id in "12")
    router = make_router(clock.ManualClock())
    router.update_instances([first])
    router.mark_leaving(first)
    assert router.choose("ledger").is_err()
    router.update_instances([second])
    assert router.choose("ledger").unwrap().boot_id == "2"
