"""Guards against attempts that multiply at each layer of a call chain."""

import collections
import itertools

import hypothesis
import pytest
from hypothesis import strategies

from bench import retry_attempts, retry_chain
from jujubetiller import retries

DEPTH = 17

fault_patterns = strategies.lists(
    strategies.lists(
        strategies.sampled_from(retry_chain.Fault), min_size=1, max_size=4
    ),
    min_size=DEPTH,
    max_size=DEPTH,
)


def make_chain(
    patterns: list[list[retry_chain.Fault]], tokens: int, **changes: object
) -> retry_chain.RetryChain:
    cycles = [itertools.cycle(pattern) for pattern in patterns]
    arguments: dict[str, object] = {
        "depth": len(patterns),
        "own_retries": 3,
        "client_retries": 3,
        **changes,
    }
    return retry_chain.RetryChain(
        tokens=tokens,
        choose_fault=lambda depth: next(cycles[depth]),
        **arguments,  # type: ignore[arg-type]
    )


def check_bound(chain: retry_chain.RetryChain) -> None:
    """``run`` itself raises when the sends beyond the first exceed the tokens."""
    chain.run()
    extra_sends = 0
    for depth, sends in enumerate(chain.sends_by_depth):
        extra_sends += chain.resends_by_depth[depth]
        assert sends <= chain.fan_out**depth * (1 + extra_sends)
    assert sum(chain.sends_by_depth) <= DEPTH * (1 + chain.tokens)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(fault_patterns, strategies.integers(0, 10))
def test_a_chain_stays_within_the_bound(
    patterns: list[list[retry_chain.Fault]], tokens: int
) -> None:
    check_bound(make_chain(patterns, tokens))


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(fault_patterns, strategies.integers(0, 10))
def test_a_wide_tree_spends_no_more_tokens(
    patterns: list[list[retry_chain.Fault]], tokens: int
) -> None:
    make_chain(patterns[:4], tokens, fan_out=3).run()


def test_the_check_fails_when_each_layer_has_a_budget_of_its_own() -> None:
    lost = [[retry_chain.Fault.NONE]] * (DEPTH - 1) + [[retry_chain.Fault.LOST]]
    check_bound(make_chain(lost, 3))
    with pytest.raises(retry_chain.BoundExceededError):
        check_bound(make_chain(lost, 3, choose_tokens=lambda lent: 3))


def test_the_check_fails_when_duplicates_from_targets_are_free(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lost = [[retry_chain.Fault.LOST]] * DEPTH
    check_bound(make_chain(lost, 3))
    monkeypatch.setattr(
        retries.DuplicateDetector,
        "classify",
        lambda detector, fingerprint: retries.NestedCallType.FIRST,
    )
    with pytest.raises(AssertionError):
        check_bound(make_chain(lost[:6], 3))


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    strategies.integers(0, 10),
    strategies.lists(
        strategies.tuples(strategies.sampled_from("lslec"), strategies.integers(-2, 12))
    ),
)
def test_tokens_are_never_created(tokens: int, steps: list[tuple[str, int]]) -> None:
    # Steps: l lends, s spends, e reclaims, c forfeits.
    ledger = retries.RetryLedger(tokens)
    lent: collections.deque[int] = collections.deque()
    spent = 0
    for step, number in steps:
        if step == "l":
            lent.append(ledger.lend())
        elif step == "s":
            spent += ledger.spend()
        elif lent:
            amount = lent.popleft()
            spent += amount
            if step == "e":
                ledger.reclaim(amount, number)
                spent -= max(0, min(amount, number))
            else:
                ledger.forfeit(amount)
        assert ledger.remaining >= 0
        assert ledger.remaining + sum(lent) + spent == tokens


def test_the_formula_without_a_ledger_agrees_with_counting() -> None:
    expected = 2 * sum(4**depth for depth in range(5))
    assert retry_attempts.count_without_ledger([0.0] * 4 + [1.0]) == (expected, 0.0)
