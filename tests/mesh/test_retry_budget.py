"""Guards against retries that exceed the budget because the fleet has many nodes."""

import pytest

from jujubetiller import clock, mesh, settings

RATIO_OF_FLEET = 0.2
SLACK_OF_FLEET = 47.0
SERVICE = "booth"


@pytest.mark.parametrize("node_count", [1, 12, 86, 4_000])
@pytest.mark.parametrize("requests_per_node", [0, 1, 40])
def test_all_nodes_together_keep_to_the_budget(
    node_count: int, requests_per_node: int
) -> None:
    manual_clock = clock.ManualClock()
    budgets = [
        mesh.RetryBudget(
            manual_clock,
            settings.RepeatSettings(fleet_slack=0.75 * SLACK_OF_FLEET),
            lambda: node_count,
        )
        for _ in range(node_count)
    ]
    retries = 0
    for budget in budgets:
        for _ in range(requests_per_node):
            budget.record_request(SERVICE)
        while budget.try_acquire(SERVICE):
            retries += 1
    requests = node_count * requests_per_node
    assert retries <= RATIO_OF_FLEET * requests + SLACK_OF_FLEET
    if requests_per_node == 40:
        assert retries >= node_count, "each node may retry some of its requests"


def test_a_node_that_knows_no_other_has_the_slack_of_one() -> None:
    budget = mesh.RetryBudget(clock.ManualClock(), settings.RepeatSettings(), lambda: 0)
    assert [budget.try_acquire(SERVICE) for _ in range(5)] == [True] * 3 + [False] * 2


@pytest.mark.parametrize("window_ms", [2_000, 10_000, 40_000])
def test_a_changed_window_forgets_no_retry_within_it(window_ms: int) -> None:
    """Guards against a reload of the settings that gives nodes a new budget."""
    manual_clock = clock.ManualClock(100_000)
    budget = mesh.RetryBudget(manual_clock, settings.RepeatSettings(), lambda: 1)
    while budget.try_acquire(SERVICE):
        pass
    budget.apply_settings(settings.RepeatSettings(window_ms=window_ms))
    manual_clock.advance(0.8 * window_ms)
    assert not budget.may_retry(SERVICE)
    manual_clock.advance(0.3 * window_ms)
    assert budget.may_retry(SERVICE)
