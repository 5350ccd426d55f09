"""Measures the time that the guard adds to a call at an idle target.

Run with ``python -m bench.guard_overhead``; prints one JSON line per policy.
"""

import json
import time

from jujubetiller import calls, clock, limits, settings

_CALLS_PER_ROUND = 20_000
_ROUNDS = 7


def measure(policy: str) -> list[float]:
    """Return the microseconds of ``submit`` and ``finished`` per call, by round."""
    system_clock = clock.SystemClock()
    guard = limits.build_guard(system_clock, settings.LimitSettings(policy=policy))
    deadline = calls.Deadline.after(system_clock, 1_000_000)
    rounds = []
    for _ in range(_ROUNDS):
        entries = [
            limits.GuardEntry(
                rank=number % 512,
                depth=2,
                deadline=deadline,
                start=_do_nothing,
                refuse=_fail,
                kind="lookup",
            )
            for number in range(_CALLS_PER_ROUND)
        ]
        started_s = time.perf_counter()
        for entry in entries:
            guard.submit(entry)
            guard.finished(entry, True)
        rounds.append((time.perf_counter() - started_s) / _CALLS_PER_ROUND * 1e6)
    return rounds


def _do_nothing() -> None:
    pass


def _fail(code: int) -> None:
    raise AssertionError(f"an idle guard refused a call with code {code}")


def main() -> None:
    """Print the median, the minimum and the maximum round of each policy."""
    for policy in ("fixed", "additive", "gradient"):
        rounds = sorted(measure(policy))
        print(
            json.dumps(
                {
                    "policy": policy,
                    "median_us": round(rounds[_ROUNDS // 2], 2),
                    "least_us": round(rounds[0], 2),
                    "greatest_us": round(rounds[-1], 2),
                }
            )
        )


if __name__ == "__main__":
    main()
