"""Measures goodput by class and recovery time under overload on real processes.

The deepest service becomes slow while clients send more and retry at once. The
baseline is the same load sent directly to the targets, with retries in each layer.
"""

import json
import math
import time
from collections.abc import Sequence
from typing import Any

import attrs

from bench import figures, overload_site
from standins import site

CALM_MS = 6_000.0
OVERLOAD_MS = 8_000.0
RECOVERY_MS = 10_000.0
BIN_MS = 500.0
WARM_UP_MS = 1_000.0
"""The start of the calm phase opens connections; the calm figures leave it out."""

GOOD_SHARE = 0.95
P99_FACTOR = 2.0


@attrs.frozen
class RunResult:
    """The results of one run."""

    name: str
    by_class: dict[int, float]
    """Share of good answers by priority class, of requests arriving in the overload."""

    goodput: float
    """Good answers a second that clients received during the overload."""

    whole_share: float
    """Share of good answers over all phases."""

    recovery_s: float
    """Seconds from the end of the overload; infinite without recovery in the run."""

    calm_share: float


def find_recovery_s(requests: Sequence[dict[str, Any]]) -> float:
    """Return the seconds from the end of the overload to lasting recovery.

    Recovery is reached at the first bin of arrivals from which every bin has at least
    95% good answers and the requests of all these bins together have a p99 of at most
    twice that of the calm phase.

    >>> calm = [{"arrived_ms": at * 10.0, "took_ms": 5.0, "end": "good"}
    ...     for at in range(2400)]
    >>> find_recovery_s(calm)
    0.0
    >>> bad = [{"arrived_ms": 14_600.0, "took_ms": 5.0, "end": "failed"}] * 10
    >>> find_recovery_s(calm + bad)
    1.0
    >>> find_recovery_s([dict(one, took_ms=99.0) if one["arrived_ms"] > 14_000
    ...     else one for one in calm])
    inf
    """
    calm = [
        one["took_ms"]
        for one in requests
        if WARM_UP_MS <= one["arrived_ms"] < CALM_MS and one["end"] == "good"
    ]
    p99_bound_ms = P99_FACTOR * figures.find_quantile(calm, 0.99)
    overload_end_ms = CALM_MS + OVERLOAD_MS
    tail = [one for one in requests if one["arrived_ms"] >= overload_end_ms]
    bins: dict[int, list[bool]] = {}
    for one in tail:
        number = int((one["arrived_ms"] - overload_end_ms) // BIN_MS)
        bins.setdefault(number, []).append(one["end"] == "good")
    last = max(bins, default=0)
    bad = [
        number for number, ends in bins.items() if sum(ends) < GOOD_SHARE * len(ends)
    ]
    for number in range(max(bad, default=-1) + 1, last + 1):
        latencies_ms = [
            one["took_ms"]
            for one in tail
            if one["arrived_ms"] >= overload_end_ms + number * BIN_MS
        ]
        if (
            len(latencies_ms) >= 100
            and figures.find_quantile(latencies_ms, 0.99) <= p99_bound_ms
        ):
            return number * BIN_MS / 1000
    return math.inf


def run_load(
    shape: overload_site.Shape, local_site: site.LocalSite
) -> list[dict[str, Any]]:
    """Run all phases and return the requests that the load drivers recorded."""
    phases: list[dict[str, Any]] = [
        {"duration_ms": int(CALM_MS)},
        {"duration_ms": int(OVERLOAD_MS), "factor": shape.surge},
        {"duration_ms": int(RECOVERY_MS)},
    ]
    loads = overload_site.make_loads(shape, local_site, phases)
    children = [site.Child("standins.load", [json.dumps(load)]) for load in loads]
    try:
        for child in children:
            child.read_hello()
        started_s = time.monotonic()
        for at_ms, run_ms in (
            (CALM_MS, overload_site.SLOW_RUN_MS),
            (CALM_MS + OVERLOAD_MS, overload_site.DEEP_RUN_MS),
        ):
            time.sleep(max(0.0, started_s + at_ms / 1000 - time.monotonic()))
            overload_site.set_deep_run_ms(shape, local_site, run_ms)
        summaries = [json.loads(child.read_line()) for child in children]
    finally:
        for child in children:
            child.close()
    return [one for summary in summaries for one in summary["requests"]]


def run(shape: overload_site.Shape, with_nodes: bool) -> RunResult:
    """Run one site and summarise the answers of its clients."""
    plan = overload_site.make_plan(shape, with_nodes)
    with site.LocalSite(plan) as local_site:
        requests = run_load(shape, local_site)
    kinds = shape.kinds()
    calm = [one for one in requests if WARM_UP_MS <= one["arrived_ms"] < CALM_MS]
    overload = [
        one for one in requests if CALM_MS <= one["arrived_ms"] < CALM_MS + OVERLOAD_MS
    ]
    by_class: dict[int, list[bool]] = {}
    for one in overload:
        priority_class = kinds[one["kind"]]["priority_class"]
        by_class.setdefault(priority_class, []).append(one["end"] == "good")
    answered_in_overload = [
        CALM_MS <= one["arrived_ms"] + one["took_ms"] < CALM_MS + OVERLOAD_MS
        for one in requests
        if one["end"] == "good"
    ]
    return RunResult(
        "nodes" if with_nodes else "direct",
        {number: sum(ends) / len(ends) for number, ends in sorted(by_class.items())},
        sum(answered_in_overload) / (OVERLOAD_MS / 1000),
        sum(one["end"] == "good" for one in requests) / len(requests),
        find_recovery_s(requests),
        sum(one["end"] == "good" for one in calm) / len(calm),
    )


def lead(measured: RunResult) -> float:
    """Return the good share of class 0 minus that of the least important class."""
    return measured.by_class[0] - measured.by_class[max(measured.by_class)]


def compare(shape: overload_site.Shape) -> list[figures.Figure]:
    """Return the figures of one site."""
    direct, nodes = run(shape, with_nodes=False), run(shape, with_nodes=True)
    name = f"{shape.name} overload"
    # A run that did not recover counts with the whole length of the recovery phase.
    longest_s = RECOVERY_MS / 1000
    return [
        figures.Figure(
            f"{name}: good answers a second",
            *(nodes.goodput, "1/s", direct.goodput),
        ),
        *(
            figures.Figure(
                f"{name}: good share of class {number}",
                *(share * 100, "%", direct.by_class[number] * 100),
            )
            for number, share in nodes.by_class.items()
        ),
        figures.Figure(
            f"{name}: class 0 served more than the last class (P2)",
            *(lead(nodes) * 100, "%", lead(direct) * 100, 0.0),
            more_is_better=True,
        ),
        figures.Figure(
            f"{name}: recovery time",
            *(min(longest_s, nodes.recovery_s), "s", min(longest_s, direct.recovery_s)),
        ),
        figures.Figure(
            f"{name}: good share of the whole run",
            *(nodes.whole_share * 100, "%", direct.whole_share * 100),
        ),
        figures.Figure(
            f"{name}: good share before it",
            *(nodes.calm_share * 100, "%", direct.calm_share * 100),
        ),
    ]


def measure() -> list[figures.Figure]:
    """Measure both sites."""
    return [
        figure
        for shape in (overload_site.KLANG, overload_site.KHOMAS)
        for figure in compare(shape)
    ]


if __name__ == "__main__":
    figures.print_figures(measure())
