"""Counts the attempts of a chain whose layers all retry.

``python -m bench.retry_attempts`` prints the figures of docs/decisions/retries.md.
All figures are computed from fixed seeds; nothing is sent over a network.
"""

import math
import random
import statistics
from collections.abc import Callable, Sequence

from bench import retry_chain
from jujubetiller import retries

DEPTH = 17
OWN_RETRIES = 3
CLIENT_RETRIES = 1
RUNS = 500


def count_without_ledger(losses: Sequence[float]) -> tuple[float, float]:
    """Return the expected sends and success probability of independent retries.

    Each layer retries without a common limit.

    ``losses`` is the probability per depth that a send fails. A send to depth d
    succeeds when it is not lost and one of the attempts that depth d makes at depth
    d + 1 succeeds.
    """
    nested_success, nested_sends = 1.0, 0.0
    for depth in range(len(losses) - 1, -1, -1):
        sends_per_run = 1.0 + nested_sends
        success = (1.0 - losses[depth]) * nested_success
        attempts = 1 + (OWN_RETRIES if depth else CLIENT_RETRIES)
        expected_attempts = sum((1.0 - success) ** number for number in range(attempts))
        nested_sends = expected_attempts * sends_per_run
        nested_success = 1.0 - (1.0 - success) ** attempts
    return nested_sends, nested_success


def count_with_ledger(losses: Sequence[float], tokens: int) -> tuple[float, int, float]:
    """Return mean sends, highest sends and success share over ``RUNS`` requests."""
    totals = []
    successes = 0
    for seed in range(RUNS):
        chain = retry_chain.RetryChain(
            len(losses),
            tokens,
            OWN_RETRIES,
            CLIENT_RETRIES,
            make_faults(random.Random(seed), losses),
        )
        successes += retries.is_successful(chain.run())
        totals.append(sum(chain.sends_by_depth))
    return statistics.fmean(totals), max(totals), successes / RUNS


def make_faults(
    source: random.Random, losses: Sequence[float]
) -> Callable[[int], retry_chain.Fault]:
    """Return a function that loses an answer with the probability of its depth."""

    def choose_fault(depth: int) -> retry_chain.Fault:
        lost = source.random() < losses[depth]
        return retry_chain.Fault.LOST if lost else retry_chain.Fault.NONE

    return choose_fault


def count_with_header(retries_allowed: int) -> int:
    """Return the most sends when a header carries a retry count down the chain.

    Each retry passes on a count lower by one, and no layer knows how many retries
    another one used: depth d is sent C(d + n - 1, n) times.
    """
    return sum(
        math.comb(depth - 1 + retries_allowed, retries_allowed)
        for depth in range(1, DEPTH + 1)
    )


def count_with_connection_budgets(budget: float) -> float:
    """Return the sends per request when each connection may add ``budget`` of them."""
    return sum((1.0 + budget) ** depth for depth in range(1, DEPTH + 1))


def main() -> None:
    """Print the tables."""
    last_fails = [0.0] * (DEPTH - 1) + [1.0]
    print(f"depth {DEPTH}, own retries {OWN_RETRIES}, client retries {CLIENT_RETRIES}")
    for name, losses in (
        ("no loss", [0.0] * DEPTH),
        ("1% of answers lost", [0.01] * DEPTH),
        ("10% of answers lost", [0.1] * DEPTH),
        ("50% of answers lost", [0.5] * DEPTH),
        ("the deepest service loses all", last_fails),
        ("all answers lost", [1.0] * DEPTH),
    ):
        sends, success = count_without_ledger(losses)
        columns = [f"{name:30}", f"without {sends:.4g} works {success:.1%}"]
        for tokens in (3, 10):
            mean, highest, success = count_with_ledger(losses, tokens)
            columns.append(
                f"T={tokens}: mean {mean:.1f} highest {highest} works {success:.1%}"
            )
        print(" | ".join(columns))
    for tokens in (3, 10):
        print(f"bound D * (1 + T) for T={tokens}: {DEPTH * (1 + tokens)}")
        print(f"header with {tokens}: at most {count_with_header(tokens)}")
    for budget in (0.1, 0.2):
        sends = count_with_connection_budgets(budget)
        print(f"connection budget {budget:.0%}: {sends:.1f}")


if __name__ == "__main__":
    main()
