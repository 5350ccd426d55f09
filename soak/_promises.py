"""The checks of a run, based on what clients and targets observed."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

from soak import _traffic

REFUSALS = frozenset((408, 421, 429, 503))
"""Statuses that guarantee that the request has not run and never will."""

OWN_ERRORS = range(300, 500)
NOT_FOUND = 404
FAILED = 500
IN_FORCE_S = 2.0
"""Time after its publication within which a configuration must be in force."""

STABLE_S = 3.0
"""Time after its start from which a node counts as stable."""

REGRESSION_SLACK_S = 0.25
HELD_SLACK_S = 0.5
RECOVERED_SHARE = 0.95
RECOVERY_S = 15.0

LIMIT_BINDS_AFTER_MS = 3_000.0
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK = 5

Attempts = Sequence[_traffic.Attempt]
Runs = Mapping[str, int]


def check_runs(attempts: Attempts, runs: Runs) -> list[str]:
    """Check the promises that must hold under every fault."""
    by_request = {attempt.request: attempt for attempt in attempts}
    found = [f"{request} ran unasked" for request in runs if request not in by_request]
    for attempt in attempts:
        count = runs.get(attempt.request, 0)
        if attempt.route in _traffic.NON_IDEMPOTENT and count > 1:
            found.append(f"{attempt.request} ran {count} times")
        if attempt.status in REFUSALS and count:
            found.append(f"{attempt.request} ran and was answered {attempt.status}")
        if attempt.status == 200 and not is_own_answer(attempt):
            found.append(f"{attempt.request} got the answer {attempt.body[:80]!r}")
        if is_rejected(attempt):
            found.append(f"{attempt.request} was answered {attempt.status}")
    return found


def is_own_answer(attempt: _traffic.Attempt) -> bool:
    """Return whether the body is the complete answer to this request."""
    try:
        answer = json.loads(attempt.body)
    except ValueError:
        return False
    return isinstance(answer, dict) and answer.get("path") == attempt.path


def is_rejected(attempt: _traffic.Attempt) -> bool:
    """Return whether this request, which is valid, was answered as invalid."""
    if attempt.status not in OWN_ERRORS or attempt.status in REFUSALS:
        return False
    return attempt.status != NOT_FOUND or not attempt.route.startswith("v")


def check_versions(attempts: Attempts) -> list[str]:
    """Check that no process reverts to an older configuration."""
    found = []
    seen: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for attempt in attempts:
        if attempt.route.startswith("v") and attempt.status == 200:
            process = (attempt.node, attempt.lifetime)
            version = int(attempt.route[1:])
            seen.setdefault(process, []).append((attempt.ended_at_s, version))
    for attempt in attempts:
        if not attempt.route.startswith("v") or attempt.status != NOT_FOUND:
            continue
        before_s = attempt.sent_at_s - REGRESSION_SLACK_S
        known = seen.get((attempt.node, attempt.lifetime), [])
        if any(
            ended_at_s < before_s and version >= int(attempt.route[1:])
            for ended_at_s, version in known
        ):
            found.append(f"{attempt.node} forgot {attempt.route}")
    return found


def check_planned_work(attempts: Attempts, runs: Runs) -> list[str]:
    """Check that planned operations interrupt and delay no request."""
    found = []
    for attempt in attempts:
        took_s = attempt.ended_at_s - attempt.sent_at_s
        ran = runs.get(attempt.request, 0) > 0
        if ran and (attempt.status is None or attempt.status >= FAILED):
            found.append(f"{attempt.request} ran and ended with {attempt.status}")
        if took_s > _traffic.DEADLINE_MS / 1_000 + HELD_SLACK_S:
            found.append(f"{attempt.request} was held for {took_s:.2f} s")
    return found


def check_in_force(
    attempts: Attempts,
    published_at_s: Mapping[int, float],
    started_at_s: Mapping[tuple[str, int], float],
) -> list[str]:
    """Check that stable nodes apply each configuration in time."""
    found = []
    for attempt in attempts:
        if attempt.status != NOT_FOUND or not attempt.route.startswith("v"):
            continue
        due_s = published_at_s.get(int(attempt.route[1:]), 0.0) + IN_FORCE_S
        stable_s = started_at_s[(attempt.node, attempt.lifetime)] + STABLE_S
        if attempt.sent_at_s > max(due_s, stable_s):
            found.append(f"{attempt.node} did not follow {attempt.route} in time")
    return found


def find_recovery_s(attempts: Attempts, ended_at_s: float) -> float | None:
    """Return the time until nearly all requests are served again, None if never."""
    seconds: dict[int, list[bool]] = {}
    for attempt in attempts:
        after_s = attempt.sent_at_s - ended_at_s
        if after_s >= 0.0 and attempt.ended_at_s and not attempt.route.startswith("v"):
            seconds.setdefault(int(after_s), []).append(attempt.status == 200)
    for second, served in sorted(seconds.items()):
        if sum(served) >= RECOVERED_SHARE * len(served):
            return float(second)
    return None


def check_rate_limits(periods: Sequence[Mapping[str, Any]]) -> list[str]:
    """Check that instances get no more than the rate limits that they name.

    A limit binds from some seconds after the first answer that named it. From then on,
    all nodes together may send one and a half times the limit and a few requests more.
    """
    found = []
    for period in periods:
        bound_from_ms = period["from_ms"] + LIMIT_BINDS_AFTER_MS
        arrivals = [at_ms for at_ms in period["arrivals_ms"] if at_ms >= bound_from_ms]
        duration_s = (period["to_ms"] - bound_from_ms) / 1_000.0
        if duration_s <= 0.0:
            continue
        limit = period["limit_per_s"]
        allowed = LIMIT_TOLERANCE * limit * duration_s + LIMIT_SLACK
        if len(arrivals) > allowed:
            found.append(
                f"{period['instance']} got {len(arrivals)} requests in "
                f"{duration_s:.1f} s with a limit of {limit} a second"
            )
    return found
