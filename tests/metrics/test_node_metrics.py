"""Guards against metrics that omit a code, grow without limit or mix units."""

import pytest

from jujubetiller import codes, metrics
from jujubetiller.metrics import _labelled_counter
from tests.metrics import fixed_source


def test_every_refusal_code_is_exported_before_it_occurs() -> None:
    text = metrics.NodeMetrics().render().decode()
    for code, entry in codes.CODE_TABLE.items():
        line = f'jujubetiller_refused_total{{code="{code.value}",name="{code.name}"}}'
        assert (line in text) is (entry.outcome is not codes.Outcome.ANSWERED)


@pytest.mark.parametrize(
    "line",
    [
        'jujubetiller_refused_total{code="100",name="QUEUE_FULL"} 1.0',
        'jujubetiller_retries_total{reason="not-run"} 1.0',
        'jujubetiller_outcomes_total{kind="sale",outcome="answered",'
        'priority_class="0"} 2.0',
        'jujubetiller_bound_refused_total{table="streams"} 3.0',
        "jujubetiller_drain_leftovers_total 4.0",
        'jujubetiller_added_seconds_bucket{le="0.0004"} 0.0',
        'jujubetiller_added_seconds_bucket{le="0.00055"} 1.0',
        "jujubetiller_call_seconds_sum 0.25",
        "jujubetiller_platform_age_seconds 1.5",
        "jujubetiller_ticket_number 42.0",
        "jujubetiller_limit 7.0",
        "jujubetiller_in_flight 6.0",
        "jujubetiller_queue_length 5.0",
    ],
)
def test_each_event_appears_under_its_name_and_unit(line: str) -> None:
    node_metrics = metrics.NodeMetrics()
    node_metrics.create_gauges(fixed_source.FixedSource())
    node_metrics.count_refusal(100)
    node_metrics.count_refusal(0)
    node_metrics.count_retry("not-run")
    node_metrics.count_outcome("sale", 0, codes.Outcome.ANSWERED)
    node_metrics.count_outcome("sale", 0, codes.Outcome.ANSWERED)
    node_metrics.count_bound("streams", 3)
    node_metrics.count_drain_leftovers(4)
    node_metrics.observe_added(0.5)
    node_metrics.observe_call(250)
    assert line in node_metrics.render().decode().splitlines()


def test_label_values_beyond_the_limit_are_counted_together() -> None:
    counter = _labelled_counter.LabelledCounter("names", "Names.", ("name",), 2)
    for name in ("a", "b", "a", "c", "d"):
        counter.add((name,))
    assert counter.values == {("a",): 2.0, ("b",): 1.0, ("other",): 2.0}
