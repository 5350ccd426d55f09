"""Metrics of what targets state about themselves, for both kinds of nodes."""

from collections.abc import Mapping

from jujubetiller import limits, metrics
from jujubetiller.notices import _notice_recorder


def read_guard(guard: limits.TargetGuard) -> dict[str, float]:
    """Return the numbers of calls that the guard refused, by result code."""
    return {code.name.lower(): number for code, number in guard.refusals.items()}


def read_calls(guard: limits.TargetGuard) -> Mapping[str, float]:
    """Return the numbers of calls that the guard was offered and has started."""
    return {"offered": guard.offers.total, "started": guard.starts.total}


def read_rates(guard: limits.TargetGuard) -> Mapping[str, float]:
    """Return the target's rate limit, 0 if it has none, and the rates of calls."""
    return {"limit_per_s": guard.rate_limit.per_s or 0.0, **guard.describe_rates()}


def make_groups(
    guard: limits.TargetGuard, recorder: _notice_recorder.NoticeRecorder
) -> list[metrics.CounterGroup]:
    """Return the counter groups of the target's notices and of the calls it gets."""
    return [
        metrics.CounterGroup(
            "guard_calls",
            "Calls that the guard of the target was offered and has started.",
            lambda: read_calls(guard),
        ),
        metrics.CounterGroup(
            "target_notices",
            "Responses in which the target named a limit or said that it leaves.",
            lambda: recorder.counts,
        ),
        metrics.CounterGroup(
            "target_rate",
            "Requests a second: the target's limit, and what it was sent.",
            lambda: read_rates(guard),
            is_counter=False,
        ),
    ]
