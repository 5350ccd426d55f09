"""Metrics of crashes and of the requests that they speak against."""

from collections.abc import Iterable

from jujubetiller import metrics
from jujubetiller.crashes import _crash_containment, _target_watch


def make_groups(
    containment: _crash_containment.CrashContainment,
    watch: _target_watch.TargetWatch,
) -> Iterable[metrics.CounterGroup]:
    """Return the counter groups of a node's containment."""
    yield metrics.CounterGroup(
        "crashes",
        "Crashes of the target, requests blamed or cleared, and what bounds refused.",
        containment.read_counters,
    )
    yield metrics.CounterGroup(
        "target_probes",
        "Probes of the target after calls were lost, by what they showed.",
        lambda: watch.counts,
    )
