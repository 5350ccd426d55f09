"""Guards against single rules of the quotas that the fleet's bound rests on."""

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from jujubetiller import clock, quotas, settings

LIMIT = quotas.TeamLimit(0.01, 100.0)
HOSTS = frozenset(("a", "b"))

LONG_ENOUGH_MS = quotas.LISTED_MS + 1_400.0
"""A node that was listed for so long has its share."""

KEPT_MS = 2.1 * quotas.LISTED_MS
"""How long the size of a former list counts."""


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    rate=st.floats(0.1, 1e4),
    burst=st.floats(0.0, 1e4),
    window_ms=st.integers(500, 600_000),
    overshoot=st.floats(0.0, 10.0),
    slack=st.floats(0.0, 1e3),
)
def test_depth_and_generation_fit_into_the_bound(
    rate: float, burst: float, window_ms: int, overshoot: float, slack: float
) -> None:
    """Clocks may be 1% fast, and tokens of a second before the window may be used."""
    quota = settings.QuotaSettings(window_ms, overshoot, slack)
    limit = quotas.derive_limit(rate, burst, quota)
    bound = (rate * window_ms / 1000.0 + burst) * (1.0 + overshoot) + slack
    covered_ms = (window_ms + quotas.TOKEN_LIFE_MS / 0.99) * 1.01
    granted = limit.depth + limit.pool + limit.rate_per_ms * covered_ms
    assert granted <= bound + 1e-5
    assert limit.rate_per_ms >= 0.0 and limit.depth >= min(1.0, bound) - 1e-5


def test_a_bucket_starts_empty_fills_and_truncates() -> None:
    """What a former process has used must not be generated again at once."""
    bucket = quotas.TokenBucket(LIMIT, share_ms=500.0)
    assert bucket.take(1.0) == 0.0
    bucket.settle(500.0 + 1_000.0, share=0.5)
    assert bucket.tokens == 10.0
    bucket.settle(1e9, share=0.5)
    assert bucket.tokens == 50.0
    bucket.settle(1e9, share=0.25)
    assert bucket.tokens == 25.0
    bucket.set_limit(quotas.TeamLimit(0.1, 40.0), 1e9, share=0.25)
    assert bucket.take(100.0) == 10.0


def make_share(
    now_ms: float = 100_000.0,
) -> tuple[clock.ManualClock, quotas.FleetShare]:
    manual_clock = clock.ManualClock(now_ms)
    return manual_clock, quotas.FleetShare(manual_clock)


def pass_time(
    manual_clock: clock.ManualClock,
    share: quotas.FleetShare,
    duration_ms: float,
    hosts: frozenset[str] = HOSTS,
    is_listed: bool = True,
) -> float:
    """Let time pass with knowledge that is 200 ms old; return the last share."""
    found = 0.0
    for _ in range(int(duration_ms / 100.0)):
        manual_clock.advance(100.0)
        as_of_ms = manual_clock.now_ms() - 200.0
        found = share.update(hosts, is_listed, as_of_ms).share
    return found


def test_a_node_has_no_share_before_it_was_listed_long_enough() -> None:
    """Other nodes may not count it yet."""
    manual_clock, share = make_share()
    assert pass_time(manual_clock, share, quotas.LISTED_MS + 200.0) == 0.0
    assert pass_time(manual_clock, share, 300.0) == 0.5


def test_the_listing_counts_from_when_it_was_seen_and_not_from_its_age() -> None:
    """A push brings a newer list than the one that the age of the state proves."""
    manual_clock, share = make_share()
    now_ms = manual_clock.now_ms()
    share.update(HOSTS, True, now_ms - (quotas.KNOWLEDGE_MS - 100.0))
    manual_clock.advance(300.0)
    assert share.update(HOSTS, True, now_ms + 300.0).share == 0.0


def test_additions_count_before_removals_and_stay_for_a_while() -> None:
    """A removed node may use its share until it learns of the removal."""
    manual_clock, share = make_share()
    pass_time(manual_clock, share, LONG_ENOUGH_MS)
    after = frozenset(("a", "c"))
    assert pass_time(manual_clock, share, 100.0, after) == pytest.approx(1 / 3)
    assert pass_time(manual_clock, share, KEPT_MS - 212.5, after) == pytest.approx(
        1 / 3
    )
    assert pass_time(manual_clock, share, 500.0, after) == 0.5


@pytest.mark.parametrize(
    ("gap_ms", "has_share"), [(1_500.0, True), (quotas.LISTED_MS, False)]
)
def test_a_gap_in_the_knowledge_starts_the_wait_again(
    gap_ms: float, has_share: bool
) -> None:
    """Nodes may have been listed and removed again within the gap."""
    manual_clock, share = make_share()
    pass_time(manual_clock, share, LONG_ENOUGH_MS)
    manual_clock.advance(gap_ms)
    now_ms = manual_clock.now_ms()
    assert (share.update(HOSTS, True, now_ms).share > 0.0) == has_share


def test_a_node_that_is_not_listed_or_knows_too_little_has_no_share() -> None:
    manual_clock, share = make_share()
    pass_time(manual_clock, share, LONG_ENOUGH_MS)
    assert pass_time(manual_clock, share, 100.0, HOSTS, is_listed=False) == 0.0
    pass_time(manual_clock, share, LONG_ENOUGH_MS)
    as_of_ms = manual_clock.now_ms() - 200.0
    manual_clock.advance(quotas.KNOWLEDGE_MS - 200.0)
    assert share.update(HOSTS, True, as_of_ms).share == 0.0


def test_a_delegation_is_replaced_by_later_numbers_only_and_ends() -> None:
    """A late message must not bring back a larger share."""
    delegations = quotas.Delegations()
    delegations.record(quotas.Sender("a", 1), 5, 0.25, 2_000.0, 0.0)
    delegations.record(quotas.Sender("a", 1), 4, 0.5, 3_000.0, 0.0)
    delegations.record(quotas.Sender("a", 2), 1, 0.25, 1_000.0, 0.0)
    assert delegations.total == 0.5
    delegations.expire(1_000.0)
    assert delegations.total == 0.25
    delegations.expire(2_000.0)
    assert delegations.total == 0.0
    delegations.record(quotas.Sender("a", 1), 6, 0.25, 2_000.0, 2_000.0)
    assert delegations.total == 0.0


def make_coordinator() -> tuple[clock.ManualClock, quotas.Coordinator]:
    manual_clock = clock.ManualClock()
    coordinator = quotas.Coordinator(manual_clock)
    coordinator.configure({"t": LIMIT}, ())
    return manual_clock, coordinator


def test_stock_ends_with_the_share_that_generated_it() -> None:
    """A node that is cut off would keep stock that others generate once more."""
    manual_clock, coordinator = make_coordinator()
    coordinator.record_share(quotas.Sender("a", 1), 1, 0.5, 20_000.0)
    coordinator.record_share(quotas.Sender("b", 1), 1, 0.1, 90_000.0)
    manual_clock.advance(19_000.0)
    assert coordinator.available_tokens("t") == pytest.approx(60.0)
    manual_clock.advance(1_000.0)
    assert coordinator.available_tokens("t") == pytest.approx(10.0)


def test_stock_from_before_a_larger_share_is_not_kept_above_its_depth() -> None:
    """A bucket that was full would otherwise gain the new depth at once."""
    manual_clock, coordinator = make_coordinator()
    coordinator.record_share(quotas.Sender("a", 1), 1, 0.1, 1e9)
    manual_clock.advance(1e6)
    coordinator.record_share(quotas.Sender("b", 1), 1, 0.4, 1e9)
    assert coordinator.available_tokens("t") == pytest.approx(10.0)


def test_borrowed_tokens_expire_and_are_not_lent_on_or_kept_longer() -> None:
    """A second hop must not extend the life of a token."""
    manual_clock, coordinator = make_coordinator()
    coordinator.add_borrowed("t", 2.0, 400.0)
    lent = coordinator.grant_to_zone(quotas.Demand("t", 2.0, 0.0))
    assert lent.amount == 0.0
    manual_clock.advance(100.0)
    grant = coordinator.grant_to_node(quotas.Demand("t", 1.0, 0.0))
    assert (grant.amount, grant.left_ms) == (1.0, 300.0)
    manual_clock.advance(300.0)
    assert coordinator.grant_to_node(quotas.Demand("t", 1.0, 0.0)).amount == 0.0


def test_tokens_count_from_the_question_and_end_when_a_limit_falls() -> None:
    manual_clock = clock.ManualClock(5_000.0)
    node = quotas.NodeQuota(manual_clock)
    node.configure({"t": LIMIT}, 3)
    grant = quotas.Grant("t", 2.0, 5_000.0, 0.0)
    node.add_grants([grant], sent_ms=4_500.0, version=3)
    token = node.try_acquire("t")
    assert token is not None and token.expires_ms == 5_500.0
    node.configure({"t": quotas.TeamLimit(0.001, 1.0)}, 4)
    assert node.try_acquire("t") is None
    node.add_grants([grant], sent_ms=5_000.0, version=3)
    assert node.try_acquire("t") is None, "the coordinator knows the old limit"
    node.add_grants([grant], sent_ms=5_000.0, version=4)
    assert node.try_acquire("t") is not None


class Recorder(quotas.Transport):
    """Keeps the questions that a node sends."""

    def __init__(self) -> None:
        self.sent: list[quotas.Question] = []
        self.answers: list[object] = []

    def ask(self, host: str, question: quotas.Question, answered: object) -> None:
        self.sent.append(question)
        self.answers.append(answered)

    def call_later(self, delay_ms: float, function: object) -> object:  # type: ignore[override]
        return lambda: None


def test_a_delegated_share_is_not_used_by_its_node_until_its_time_has_passed() -> None:
    """Both would generate the same tokens; the coordinator's clock may be slower."""
    manual_clock = clock.ManualClock(100_000.0)
    transport = Recorder()
    rounds = quotas.QuotaRounds(manual_clock, random.Random(1), transport, "a", "z")
    rounds.configure({"t": LIMIT}, 1)

    def play(zones: dict[str, set[str]], duration_ms: float) -> None:
        for _ in range(int(duration_ms / 100.0)):
            manual_clock.advance(100.0)
            as_of_ms = manual_clock.now_ms() - 100.0
            rounds.update_nodes(zones, HOSTS, True, as_of_ms)
            rounds.run_round()

    play({"z": {"b"}}, LONG_ENOUGH_MS)
    assert rounds.coordinator.delegations.total == 0.5, "nothing was delegated yet"
    question = transport.sent[-1]
    assert question.delegation is None
    answer = quotas.Answer(question.number, 9, 777.0, 1, ())
    transport.answers[-1](answer)  # type: ignore[operator]
    play({"z": {"b"}}, 100.0)
    delegation = transport.sent[-1].delegation
    assert delegation == quotas.Delegation(0.5, 777.0, 9, 1_600.0)
    assert rounds.coordinator.delegations.total == 0.0
    play({"z": {"a"}}, quotas.DELEGATION_MS)
    assert rounds.coordinator.delegations.total == 0.0
    play({"z": {"a"}}, 100.0)
    assert rounds.coordinator.delegations.total == 0.5


@pytest.mark.parametrize(
    ("age_ms", "valid_ms"),
    [(200.0, quotas.DELEGATION_MS), (quotas.KNOWLEDGE_MS - 200.0, 200.0)],
)
def test_a_delegation_ends_with_the_knowledge_of_its_lender(
    age_ms: float, valid_ms: float
) -> None:
    """The share of a node that was removed would be used for longer than it counts."""
    manual_clock = clock.ManualClock(100_000.0)
    coordinator = quotas.Coordinator(manual_clock)
    use = quotas.ShareHolder(manual_clock, coordinator, "a", 1)
    pass_time(manual_clock, use.fleet, LONG_ENOUGH_MS)
    as_of_ms = manual_clock.now_ms() - 200.0
    use.record_stamp("b", quotas.Answer(1, 9, 50.0, 1, ()))
    manual_clock.advance(age_ms - 200.0)
    use.record_stamp("b", quotas.Answer(2, 9, 777.0, 1, ()))
    use.update(HOSTS, True, as_of_ms)
    assert use.delegate("b") == quotas.Delegation(0.5, 777.0, 9, valid_ms)


def test_a_stamp_of_a_former_process_or_of_the_future_is_not_used() -> None:
    """Its clock may have another start, so that the share would last for too long."""
    manual_clock = clock.ManualClock(1_000.0)
    coordinator = quotas.Coordinator(manual_clock)
    use = quotas.ShareHolder(manual_clock, coordinator, "b", 9)
    for stamp_ms, boot, total in ((900.0, 8, 0.0), (1_001.0, 9, 0.0), (900.0, 9, 0.5)):
        delegation = quotas.Delegation(0.5, stamp_ms, boot, 1e9)
        use.accept(quotas.Question("a", 1, 1, 1, False, delegation, ()))
        assert coordinator.delegations.total == total
    manual_clock.advance(2_500.0)
    coordinator.advance()
    assert coordinator.delegations.total == 0.0, "a life has a bound"
