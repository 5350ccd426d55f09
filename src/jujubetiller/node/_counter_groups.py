"""Metrics of the counters that the components of a node keep."""

from collections.abc import Iterable, Mapping

import attrs

from jujubetiller import control, crashes, edge, logs, metrics, notices
from jujubetiller.node import _control_loop, _node_parts, _platform_reading

_Values = Mapping[str, float]
_LEVELS = ("streams_open", "calls_under_way")


def read_streams(parts: _node_parts.NodeParts) -> dict[str, float]:
    """Return the stream statistics without the refusals by reason."""
    statistics = attrs.asdict(parts.pool.statistics(), recurse=False)
    del statistics["refusals"]
    return statistics


def read_guard(parts: _node_parts.NodeParts) -> _Values:
    """Return the numbers of calls that the guard refused, by result code."""
    refusals = notices.read_guard(parts.guard)
    level = parts.guard.refusal_level
    return {**refusals, "offers_beyond_rank_bound": level.uncounted_offers}


def read_executions(parts: _node_parts.NodeParts) -> _Values:
    """Return the counters of the execution table."""
    table = parts.executions
    begins = {
        f"begin_{state.name.lower()}": number
        for state, number in table.begin_counts.items()
    }
    return {
        **begins,
        "seals_confirmed": table.seals_confirmed,
        "seals_refused": table.seals_refused,
        "answers_dropped": table.answers_dropped,
        "unexpected_events": table.unexpected_events,
    }


def read_platform(reading: _platform_reading.PlatformReading) -> _Values:
    """Return the numbers of platform reads by result, and of reader takeovers."""
    return {
        **reading.client.counts,
        "bad_index": reading.ticket_reader.bad_index_count,
        "bad_ticket": reading.ticket_reader.bad_ticket_count,
        "bad_list": reading.vm_list_reader.bad_list_count,
        "takeover": reading.election.takeover_count,
    }


def read_edges(edges: Mapping[str, edge.EdgeFactory]) -> _Values:
    """Return the numbers of connections and bodies that HTTP listeners refused."""
    values: dict[str, float] = {}
    for name, factory in edges.items():
        values[f"{name}_connections"] = factory.connections_refused
        values[f"{name}_bodies"] = factory.bodies_refused
    return values


def make_groups(parts: _node_parts.NodeParts) -> Iterable[metrics.CounterGroup]:
    """Return the counters of the components that calls share."""
    yield from notices.make_groups(parts.guard, parts.notices)
    yield from crashes.make_groups(parts.containment, parts.watch)
    group = metrics.CounterGroup
    yield group(
        "streams",
        "What passed over the streams to peers.",
        lambda: {k: v for k, v in read_streams(parts).items() if k not in _LEVELS},
    )
    yield group(
        "streams_now",
        "Streams open and calls under way on them.",
        lambda: {k: v for k, v in read_streams(parts).items() if k in _LEVELS},
        is_counter=False,
    )
    yield group(
        "stream_refused",
        "What the streams refused, dropped or closed, by reason.",
        lambda: parts.pool.statistics().refusals,
    )
    yield group(
        "target_connections",
        "What happened on the connections to the target.",
        lambda: attrs.asdict(parts.target.statistics),
    )
    yield group(
        "guard_refused",
        "Calls that the guard of the target refused, by result code.",
        lambda: read_guard(parts),
    )
    yield group(
        "executions",
        "Uses of execution keys at this owner.",
        lambda: read_executions(parts),
    )
    yield group(
        "contexts",
        "Contexts of calls running at the target.",
        lambda: {"opened": parts.contexts.opened, "refused": parts.contexts.refused},
    )
    yield group(
        "client_retries",
        "Used retry tokens forgotten before they expired.",
        lambda: {"used_token_evicted": parts.client_retries.used.evicted},
    )
    yield group(
        "routing",
        "Choices of the router that found no instance or a probe.",
        lambda: {
            "no_instance": parts.router.no_instance_refusals,
            "rate_limited": parts.router.rate_limited_refusals,
            "probe": parts.router.probes_sent,
        },
    )
    yield group(
        "pressure",
        "Calls refused at this entry node because of pressure downstream.",
        lambda: {
            "refused": parts.admission.refused,
            "probe": parts.admission.probes,
            "dropped_key": parts.pressure_table.dropped_keys,
        },
    )
    yield group(
        "tickets",
        "Objects of tickets in conflict, over the bound or not valid.",
        lambda: {
            "conflict": parts.tickets.conflict_count,
            "refused": parts.tickets.over_limit_count,
            "problem": parts.tickets.rejected_count,
        },
    )


def make_control_groups(
    exchange: control.ControlExchange,
    control_loop: _control_loop.ControlLoop,
    reading: _platform_reading.PlatformReading,
    edges: Mapping[str, edge.EdgeFactory],
) -> Iterable[metrics.CounterGroup]:
    """Return the counters of the control exchange and of the listeners."""
    group = metrics.CounterGroup
    table = exchange.table
    yield group(
        "membership",
        "Instance records over the bound, not valid or from an old list.",
        lambda: {
            "refused": table.over_limit_count,
            "problem": table.rejected_count,
            "old_list": table.old_list_count,
            "incarnation_raised": exchange.announcer.incarnation.raised_count,
        },
    )
    yield group(
        "control",
        "What the control exchange refused, and suspected neighbours.",
        lambda: {
            "message_refused": control_loop.messages_refused,
            "pull_refused": exchange.budget.pulls_over_budget_count,
            "reply_refused": exchange.budget.replies_over_budget_count,
            "suspected": exchange.failure_detector.suspected_count,
        },
    )
    yield group(
        "control_sent_bytes",
        "Bytes of control messages sent, by message.",
        lambda: exchange.sent_bytes,
    )
    yield group(
        "platform",
        "Reads of the platform, by how they ended.",
        lambda: read_platform(reading),
    )
    yield group(
        "edge_refused",
        "Connections and bodies over the bounds of the HTTP listeners.",
        lambda: read_edges(edges),
    )


def make_log_group(handler: logs.JsonLinesHandler) -> metrics.CounterGroup:
    """Return the counters of log messages that were left out."""
    return metrics.CounterGroup(
        "logs",
        "Log messages left out: repeated too often, or not taken by the reader.",
        lambda: {
            "suppressed": handler.rate_limiter.suppressed_total,
            "dropped": handler.dropped_total,
        },
    )
