"""Guards against a limited instance that gets all its calls, or none for ever."""

import collections

import attrs
import pytest
import result

from jujubetiller import calls, clock, codes, routing
from tests.routing import test_router

LIMITED = attrs.evolve(test_router.ANSWERED, rate_limit_per_s=10.0, admitted_share=0.25)
UNLIMITED = attrs.evolve(test_router.ANSWERED, rate_limit_per_s=0.0)


def make_router(
    *names: str,
) -> tuple[clock.ManualClock, routing.Router]:
    manual_clock = clock.ManualClock(1_000.0)
    router = test_router.make_router(
        manual_clock, *names, router_class=routing.LatencyWeightedRouter
    )
    return manual_clock, router


def record(router: routing.Router, name: str, answer: object) -> None:
    instance = test_router.make_instance(name)
    router.record_sent(instance)
    router.record_answer(instance, answer, 10.0)  # type: ignore[arg-type]


def count_choices(router: routing.Router, urgent: bool = False) -> dict[str, int]:
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(1_000):
        chosen = router.choose("ledger", urgent=urgent)
        is_chosen = isinstance(chosen, result.Ok)
        counts[chosen.ok_value.instance if is_chosen else chosen.err_value.name] += 1
    return counts


def test_what_a_limited_instance_does_not_take_goes_to_others() -> None:
    _, router = make_router("a-1", "a-2")
    record(router, "a-1", LIMITED)
    counts = count_choices(router)
    assert 200 < counts["a-1"] < 300
    assert counts["a-1"] + counts["a-2"] == 1_000


def test_the_rest_goes_to_another_zone_if_the_own_has_no_room() -> None:
    _, router = make_router("a-1", "b-1")
    record(router, "a-1", LIMITED)
    counts = count_choices(router)
    assert 400 < counts["a-1"] < 600
    assert counts["b-1"] > 400


@pytest.mark.parametrize("urgent", [False, True])
def test_only_urgent_calls_exceed_the_shares_of_all_instances(urgent: bool) -> None:
    _, router = make_router("a-1")
    record(router, "a-1", LIMITED)
    counts = count_choices(router, urgent)
    assert (counts["a-1"] == 1_000) is urgent
    assert (counts["RATE_LIMITED"] > 400) is not urgent
    assert router.no_instance_refusals == 0


def test_unreachable_instances_do_not_get_the_rest() -> None:
    _, router = make_router("a-1", "a-2")
    router.mark_unreachable(test_router.make_instance("a-2"))
    record(router, "a-1", LIMITED)
    assert "a-2" not in count_choices(router)


def test_the_share_recovers_after_the_limit_has_ended() -> None:
    manual_clock, router = make_router("a-1", "a-2")
    record(router, "a-1", LIMITED)
    for _ in range(10):
        manual_clock.advance(600.0)
        record(router, "a-1", UNLIMITED)
    assert router.rate_limited == {}
    assert router.known_rate_limit(test_router.make_instance("a-1")) is None
    assert 400 < count_choices(router)["a-1"] < 600


def test_an_instance_that_got_no_call_for_long_is_tried_again() -> None:
    manual_clock, router = make_router("a-1", "a-2")
    for _ in range(10):
        manual_clock.advance(600.0)
        record(router, "a-1", attrs.evolve(LIMITED, admitted_share=0.0001))
    assert count_choices(router)["a-1"] < 30
    manual_clock.advance(60_000.0)
    assert count_choices(router)["a-1"] > 400


def test_a_new_lifetime_has_its_whole_share() -> None:
    _, router = make_router("a-1", "a-2")
    record(router, "a-1", LIMITED)
    router.update_instances(
        test_router.make_instance(name, incarnation=2, boot_id="new")
        for name in ("a-1", "a-2")
    )
    assert router.rate_limited == {}
    assert 400 < count_choices(router)["a-1"] < 600


def test_a_refusal_for_the_rate_is_no_sample_of_latency_or_failure() -> None:
    """Guards against calls that are drawn to an instance that refuses at once."""
    _, router = make_router("a-1", "a-2")
    refused = test_router.calls.make_refusal(codes.ResultCode.RATE_LIMITED)
    for _ in range(50):
        record(router, "a-1", refused)
    stats = router.pools["ledger"].stats["a-1"]
    assert (stats.relative_latency, stats.failure_rate, stats.outstanding) == (1, 0, 0)


@pytest.mark.parametrize(
    "code",
    [codes.ResultCode.REQUEST_CRASHES_TARGETS, codes.ResultCode.SUSPECT_NOT_TRIED],
)
def test_refusals_for_crashes_make_no_instance_look_fast(
    code: codes.ResultCode,
) -> None:
    _, router = make_router("a-1", "a-2")
    for _ in range(50):
        record(router, "a-2", test_router.ANSWERED)
        instance = test_router.make_instance("a-1")
        router.record_sent(instance)
        router.record_answer(instance, calls.make_refusal(code), 0.1)
    counts = count_choices(router)
    assert 400 < counts["a-1"] < 600
