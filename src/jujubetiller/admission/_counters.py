"""Metrics of admission by cost."""

from collections.abc import Iterable

from jujubetiller import metrics
from jujubetiller.admission import _node_admission


def make_groups(
    node_admission: _node_admission.NodeAdmission | None,
) -> Iterable[metrics.CounterGroup]:
    """Return the counter groups; none if the node does not admit by cost."""
    if node_admission is None:
        return
    yield metrics.CounterGroup(
        "admission",
        "Requests refused by cost, and what the bounds of admission left out.",
        node_admission.read_counters,
    )
    yield metrics.CounterGroup(
        "admission_state",
        "The load offered to the target, and the admitted fractions by service.",
        node_admission.read_gauges,
        is_counter=False,
    )
