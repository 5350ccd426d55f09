"""Guards against calls sent to a slow or full instance while others have capacity."""

from jujubetiller import calls, clock, codes, routing
from tests.routing import test_router

ANSWERED = test_router.ANSWERED
REFUSED = calls.make_refusal(codes.ResultCode.QUEUE_FULL)


def measure_shares(
    answers: dict[str, tuple[calls.CallAnswer, float]], *names: str, count: int = 600
) -> dict[str, float]:
    """Return the shares of the second half of ``count`` calls, 5 ms apart."""
    manual_clock = clock.ManualClock()
    router = test_router.make_router(
        manual_clock, *names, router_class=routing.LatencyWeightedRouter
    )
    chosen: dict[str, int] = dict.fromkeys(names, 0)
    for number in range(count):
        manual_clock.advance(5)
        instance = router.choose("ledger").unwrap()
        chosen[instance.instance] += number >= count // 2
        answer, took_ms = answers.get(instance.instance, (ANSWERED, 20.0))
        router.record_sent(instance)
        router.record_answer(instance, answer, took_ms, "tally")
    return {name: number / (count // 2) for name, number in chosen.items()}


def test_equal_instances_keep_calls_in_the_own_zone() -> None:
    assert measure_shares({}, "a-1", "b-1", "c-1")["a-1"] > 0.95


def test_calls_of_a_zone_whose_instance_is_five_times_slower_spill() -> None:
    """Guards against calls that stay in a zone whose instance becomes slow."""
    shares = measure_shares({"a-1": (ANSWERED, 100.0)}, "a-1", "b-1", "c-1")
    assert shares["a-1"] < 0.35


def test_calls_of_a_zone_whose_instance_refuses_spill() -> None:
    shares = measure_shares({"a-1": (REFUSED, 1.0)}, "a-1", "b-1", "c-1")
    assert shares["a-1"] < 0.2


def test_the_slower_of_two_instances_in_a_zone_gets_less() -> None:
    shares = measure_shares({"a-1": (ANSWERED, 40.0)}, "a-1", "a-2")
    assert shares["a-1"] < 0.3


def test_calls_return_to_an_instance_that_recovers() -> None:
    manual_clock = clock.ManualClock()
    router = test_router.make_router(
        manual_clock, "a-1", "b-1", router_class=routing.LatencyWeightedRouter
    )
    pool = router.pools["ledger"]
    slow, other = (pool.stats[name] for name in ("a-1", "b-1"))
    for _ in range(100):
        pool.record(other, False, 20.0, "tally", manual_clock.now_ms())
        pool.record(slow, False, 400.0, "tally", manual_clock.now_ms())
    assert isinstance(pool, routing.LatencyWeightedPool)
    assert pool.weight(slow, manual_clock.now_ms()) < 0.1
    manual_clock.advance(20_000)
    assert pool.weight(slow, manual_clock.now_ms()) > 0.9


def test_a_new_instance_gets_more_calls_during_its_slow_start() -> None:
    """Guards against nodes that started later and send a new instance a full share.

    The instance reports the remaining time of its slow start.
    """
    manual_clock = clock.ManualClock()
    router = test_router.make_router(
        manual_clock, router_class=routing.LatencyWeightedRouter
    )
    cold = test_router.make_instance("a-1", slow_start_ms=2_000.0)
    warm = test_router.make_instance("a-2", slow_start_ms=0.0)
    router.update_instances([cold, warm])
    shares = []
    for _ in range(3):
        chosen = [router.choose("ledger").unwrap().instance for _ in range(400)]
        shares.append(chosen.count("a-1") / 400)
        manual_clock.advance(1_000)
    assert shares[0] < 0.1 < shares[1] < 0.4 < shares[2] < 0.6


def test_weights_are_computed_once_for_calls_that_come_together() -> None:
    """Guards against a node that computes the weights again for each call."""
    manual_clock = clock.ManualClock()
    router = test_router.make_router(
        manual_clock, "a-1", "a-2", router_class=routing.LatencyWeightedRouter
    )
    pool = router.pools["ledger"]
    assert isinstance(pool, routing.LatencyWeightedPool)
    router.choose("ledger")
    weights = pool.cumulative
    manual_clock.advance(4)
    router.choose("ledger")
    assert pool.cumulative is weights
    manual_clock.advance(7)
    router.choose("ledger")
    assert pool.cumulative is not weights


def test_cached_weights_are_dropped_when_an_instance_leaves() -> None:
    manual_clock = clock.ManualClock()
    router = test_router.make_router(
        manual_clock, "a-1", "a-2", router_class=routing.LatencyWeightedRouter
    )
    router.mark_leaving(router.choose("ledger").unwrap())
    chosen = {router.choose("ledger").unwrap().instance for _ in range(50)}
    assert len(chosen) == 1
