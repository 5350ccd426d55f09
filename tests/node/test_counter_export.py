"""Guards against counters that are not exported and a wrong added time."""

import io
import operator
from typing import Any

import pytest

from jujubetiller import calls, clock, codes, keys, logs, metrics, node, records
from jujubetiller.metrics import _render
from jujubetiller.node import _counter_groups, _explanations
from standins.fleet import local_fleet

# Each line: the counter, its metric and the value of its label "event". For "@", that
# value is the name of the counter.
ATTRIBUTES = [
    line.split()
    for line in """
    parts.pool.context.statistics.calls_sent streams_total calls_sent
    parts.pool.context.statistics.bytes_out streams_total bytes_out
    parts.pool.context.statistics.streams_open streams_now streams_open
    parts.pool.context.statistics.calls_under_way streams_now calls_under_way
    parts.target.statistics.connections_opened target_connections_total @
    parts.target.statistics.connections_failed target_connections_total @
    parts.target.statistics.connections_silent target_connections_total @
    parts.target.statistics.idle_discarded target_connections_total @
    parts.target.statistics.closed_early target_connections_total @
    parts.guard.refusal_level.uncounted_offers guard_refused_total
        offers_beyond_rank_bound
    parts.executions.seals_confirmed executions_total seals_confirmed
    parts.executions.seals_refused executions_total seals_refused
    parts.executions.answers_dropped executions_total answers_dropped
    parts.executions.unexpected_events executions_total unexpected_events
    parts.contexts.opened contexts_total opened
    parts.contexts.refused contexts_total refused
    parts.client_retries.used.evicted client_retries_total used_token_evicted
    parts.router.no_instance_refusals routing_total no_instance
    parts.router.probes_sent routing_total probe
    parts.admission.refused pressure_total refused
    parts.admission.probes pressure_total probe
    parts.pressure_table.dropped_keys pressure_total dropped_key
    parts.tickets.conflict_count tickets_total conflict
    parts.tickets.over_limit_count tickets_total refused
    parts.tickets.rejected_count tickets_total problem
    exchange.table.over_limit_count membership_total refused
    exchange.table.rejected_count membership_total problem
    exchange.table.old_list_count membership_total old_list
    exchange.announcer.incarnation.raised_count membership_total incarnation_raised
    exchange.budget.pulls_over_budget_count control_total pull_refused
    exchange.budget.replies_over_budget_count control_total reply_refused
    exchange.failure_detector.suspected_count control_total suspected
    control_loop.messages_refused control_total message_refused
    platform_reading.ticket_reader.bad_index_count platform_total bad_index
    platform_reading.ticket_reader.bad_ticket_count platform_total bad_ticket
    platform_reading.vm_list_reader.bad_list_count platform_total bad_list
    platform_reading.election.takeover_count platform_total takeover
    """.replace("\n        ", " ")
    .strip()
    .splitlines()
]
ITEMS: list[tuple[str, Any, str, str]] = [
    ("parts.pool.context.statistics.refusals", "silent", "stream_refused", "silent"),
    ("parts.guard.refusals", codes.ResultCode.QUEUE_FULL, "guard_refused", ""),
    ("parts.executions.begin_counts", keys.BeginState.FULL, "executions", ""),
    ("platform_reading.client.counts", "older-version", "platform", "older-version"),
    ("exchange.sent_bytes", "digest", "control_sent_bytes", "digest"),
]
EVENTS = {"guard_refused": "queue_full", "executions": "begin_full"}


@pytest.fixture(scope="module")
def started() -> node.Node:
    return local_fleet.Fleet().nodes["gate-1"]


def render(started: node.Node) -> list[str]:
    return started.parts.metrics.render().decode().splitlines()


@pytest.mark.parametrize("counter", ATTRIBUTES, ids=operator.itemgetter(0))
def test_each_counter_is_exported(started: node.Node, counter: list[str]) -> None:
    path, name, event = counter
    owner_path, _, attribute = path.rpartition(".")
    setattr(operator.attrgetter(owner_path)(started), attribute, 4_321)
    label = attribute if event == "@" else event
    assert f'jujubetiller_{name}{{event="{label}"}} 4321.0' in render(started)


@pytest.mark.parametrize(("path", "item", "name", "event"), ITEMS)
def test_each_counter_by_reason_is_exported(
    started: node.Node, path: str, item: Any, name: str, event: str
) -> None:
    operator.attrgetter(path)(started)[item] = 4_321
    label = event or EVENTS[name]
    assert f'jujubetiller_{name}_total{{event="{label}"}} 4321.0' in render(started)


@pytest.mark.parametrize("listener", ["edge", "service"])
def test_the_refusals_of_each_listener_are_exported(
    started: node.Node, listener: str
) -> None:
    started.edges[listener].connections_refused = 12
    started.edges[listener].bodies_refused = 13
    lines = render(started)
    name = "jujubetiller_edge_refused_total"
    assert f'{name}{{event="{listener}_connections"}} 12.0' in lines
    assert f'{name}{{event="{listener}_bodies"}} 13.0' in lines


def test_events_beyond_the_limit_are_summed_as_other() -> None:
    highest = _render.MAX_EVENTS
    values = {str(number): 1.0 for number in range(highest + 3)}
    group = metrics.CounterGroup("many", "Many.", lambda: values)
    collector = _render.MetricsCollector([group])
    samples = next(iter(collector.collect())).samples
    assert len(samples) == highest + 1
    assert (samples[-1].labels["event"], samples[-1].value) == ("other", 3.0)


def test_the_added_time_excludes_run_time_and_queue_wait(started: node.Node) -> None:
    hop = records.HopRecord("a", "booth", "limit", 0, wait_ms=30.0, run_ms=9.5)
    nested = records.HopRecord("b", "ledger", "limit", 0, wait_ms=5.0, run_ms=1.0)
    answer = calls.CallAnswer(
        codes.Outcome.ANSWERED, codes.ResultCode.ANSWERED, hops=(hop, nested)
    )
    _explanations.observe_added(started.parts, answer, 40.0)
    assert "jujubetiller_added_seconds_sum 0.0005" in render(started)


def test_an_answered_client_call_is_observed_and_a_refused_one_is_not() -> None:
    fleet = local_fleet.Fleet()
    fleet.wait_ready()
    fleet.send("look")
    fleet.run_to_end()
    entry = fleet.nodes["gate-1"]
    assert "jujubetiller_added_seconds_count 1.0" in render(entry)
    fleet.kill("booth-1.target")
    fleet.kill("booth-2.target")
    fleet.send("look")
    fleet.run_to_end()
    assert "jujubetiller_added_seconds_count 1.0" in render(entry)


def test_suppressed_log_messages_are_exported() -> None:
    rate_limiter = logs.MessageRateLimiter(clock.ManualClock(), highest=1, kinds=1)
    handler = logs.JsonLinesHandler(
        logs.StreamOutput(io.StringIO()), rate_limiter, "info"
    )
    node_metrics = metrics.NodeMetrics()
    node_metrics.export([_counter_groups.make_log_group(handler)])
    assert [rate_limiter.admit("same") for _ in range(3)] == [0, None, None]
    line = 'jujubetiller_logs_total{event="suppressed"} 2.0'
    assert line in node_metrics.render().decode().splitlines()
