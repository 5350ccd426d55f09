"""Records as text for people and as JSON for programs."""

import json

import attrs

from jujubetiller.records import _call_record, _conclusion, _hop_record


def _render_hop(number: int, hop: _hop_record.HopRecord) -> str:
    platform_age = (
        f"platform last answered {hop.platform_age_ms:.0f} ms ago"
        if hop.platform_age_ms >= 0
        else "no platform answer known"
    )
    return (
        f"{number:3}. {'  ' * hop.depth}{hop.service} {hop.instance}: "
        f"code {_conclusion.name_code(hop.code)} by rule {hop.rule}, "
        f"waited {hop.wait_ms:.1f} ms, ran {hop.run_ms:.1f} ms, "
        f"limit {hop.limit}, in flight {hop.in_flight}, queued {hop.queue_length}, "
        f"deadline left {hop.deadline_left_ms:.1f} ms, "
        f"ticket {hop.ticket_number} ({platform_age}), attempt {hop.attempts}"
    )


def render_text(record: _call_record.CallRecord) -> str:
    """Return ``record`` as text for a person: a header, the hops, a conclusion."""
    lines = [
        f"Request {record.tree_id}: {record.method} /{record.service}{record.path} "
        f"(kind {record.kind})",
        f"Entered at {record.entry_instance}, ended {record.wall_time}",
        f"Outcome {record.outcome}, code {_conclusion.name_code(record.code)}, "
        f"after {record.took_ms:.1f} ms",
        *(_render_hop(number, hop) for number, hop in enumerate(record.hops, 1)),
    ]
    if record.hops_left_out:
        lines.append(f"     {record.hops_left_out} more hops were left out.")
    lines.append(f"Conclusion: {_conclusion.write_conclusion(record)}")
    return "\n".join(lines) + "\n"


def render_json(record: _call_record.CallRecord) -> str:
    """Return ``record`` as one JSON object with the conclusion."""
    document = attrs.asdict(record)
    document["conclusion"] = _conclusion.write_conclusion(record)
    return json.dumps(document, indent=2) + "\n"
