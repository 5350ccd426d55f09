"""Compares the design scale with the limits, as rows of the capacity page."""

from bench import capacity_model

HEADER = ("limit", "at the design scale", "verdict")


def _describe_verdict(value: float, bound: float) -> str:
    if value <= bound:
        return f"kept, {value / bound * 100:.0f}% of it"
    return f"**missed**, {value / bound:.1f} times"


def make_rows(model: capacity_model.CapacityModel) -> list[tuple[str, str, str]]:
    """Return a row for each limit."""
    scale = model.scale
    chain_ms = model.added_p99_ms * scale.depth
    spill_streams = scale.spill_streams
    sent = model.exchange_bytes_per_s + model.heartbeat_bytes_per_s(
        scale.own_zone_streams
    )
    full_streams = model.exchange_bytes_per_s + model.heartbeat_bytes_per_s(
        scale.max_streams
    )
    reader = sent + model.reader_bytes_per_s
    calls = scale.calls_per_node
    streams_percent = model.streams_percent(scale.own_zone_streams)
    idle_percent = model.process_percent + streams_percent
    return [
        (
            f"{scale.added_ms} ms added at p99",
            f"{model.added_p99_ms:.2f} ms for a call through two nodes, beside "
            f"{model.direct_p99_ms:.2f} ms of the direct call in the same run; at p50 "
            f"{model.added_p50_ms:.2f} ms",
            _describe_verdict(model.added_p99_ms, scale.added_ms),
        ),
        (
            f"the same, {scale.depth} calls in sequence",
            f"{chain_ms:.1f} ms if every call took its p99",
            _describe_verdict(chain_ms, scale.added_ms * scale.depth),
        ),
        (
            f"{calls:.0f} calls/s a node, sent and taken, on one core",
            f"{model.call_percent(calls):.1f}% of a core; a whole core carries "
            f"{model.highest_calls_per_s:.0f} calls/s each way, "
            f"{model.highest_calls_per_s / calls:.1f} times the mean",
            _describe_verdict(calls, model.highest_calls_per_s),
        ),
        (
            f"{scale.control_percent}% of a core for control",
            f"{model.process_percent:.2f}% for the whole idle process at 48 nodes, "
            f"{model.control_percent:.3f}% for the exchange at {scale.nodes:,}",
            _describe_verdict(model.process_percent, scale.control_percent),
        ),
        (
            f"the same, with {scale.own_zone_streams:.0f} idle streams each way",
            f"{idle_percent:.2f}%, of it {streams_percent:.2f}% for the checks and "
            "heartbeats of streams, measured with up to 200 streams of a process",
            _describe_verdict(idle_percent, scale.control_percent),
        ),
        (
            "8 KB/s for control, ordinary node",
            f"{sent:,.0f} B/s sent with heartbeats of idle streams",
            _describe_verdict(sent, scale.control_bytes_per_s),
        ),
        (
            f"the same with all {scale.max_streams} streams each way idle",
            f"{full_streams:,.0f} B/s",
            _describe_verdict(full_streams, scale.control_bytes_per_s),
        ),
        (
            "8 KB/s for control, reader",
            f"{reader:,.0f} B/s sent and read; the index reaches the limit at "
            f"{model.highest_objects:,.0f} objects",
            _describe_verdict(reader, scale.control_bytes_per_s),
        ),
        (
            "32 MB for control",
            f"{model.added_mb:.1f} MB beyond the imports",
            _describe_verdict(model.added_mb, scale.control_mb),
        ),
        (
            f"{scale.max_streams} streams each way, calls within the zone",
            f"{scale.own_zone_streams:.0f}",
            _describe_verdict(scale.own_zone_streams, scale.max_streams),
        ),
        (
            f"{scale.max_streams} streams each way, calls spill to all zones",
            f"{spill_streams:,.0f} on average if all nodes spill for one service, each "
            f"to {scale.other_zone_instances} instances by rendezvous hash; further "
            "streams are refused",
            _describe_verdict(spill_streams, scale.max_streams),
        ),
        (
            f"{scale.reads_per_s:,.0f} reads/s of the platform",
            f"{scale.watch_reads_per_s + scale.tickets_per_s * scale.readers:.0f}",
            _describe_verdict(
                scale.watch_reads_per_s + scale.tickets_per_s * scale.readers,
                scale.reads_per_s,
            ),
        ),
    ]
