"""The sentence that says why a request ended as it did."""

import attrs

from jujubetiller import codes
from jujubetiller.records import _call_record, _hop_record


@attrs.frozen
class DecisiveHop:
    """The hop that decided how the request ended, and its run time."""

    hop: _hop_record.HopRecord

    own_run_ms: float
    """Time at the target without nested calls."""


def name_code(code: int) -> str:
    """Return number and name of ``code``, which may come from a newer version."""
    try:
        return f"{code} {codes.ResultCode(code).name}"
    except ValueError:
        return f"{code} (not known to this version)"


def describe_code(code: int) -> str:
    """Return the meaning of ``code``."""
    try:
        return codes.describe(code).meaning
    except ValueError:
        return "The meaning is not known to this version."


def measure_own_run(hops: tuple[_hop_record.HopRecord, ...], index: int) -> float:
    """Return the run time of a hop without its nested calls.

    The hops of nested calls follow their caller's hop and have a greater depth.
    """
    own_ms = hops[index].run_ms
    for nested in hops[index + 1 :]:
        if nested.depth <= hops[index].depth:
            break
        if nested.depth == hops[index].depth + 1:
            own_ms -= nested.wait_ms + nested.run_ms
    return max(0.0, own_ms)


def measure_unrecorded_time(record: _call_record.CallRecord) -> float:
    """Return the time that no recorded hop covers.

    It was spent between nodes: on the network, in delays before retries, or in
    attempts whose hops were lost.
    """
    top_depth = min((hop.depth for hop in record.hops), default=0)
    inside_ms = sum(
        hop.wait_ms + hop.run_ms for hop in record.hops if hop.depth == top_depth
    )
    return max(0.0, record.took_ms - inside_ms)


def find_decisive_hop(record: _call_record.CallRecord) -> DecisiveHop | None:
    """Return the deepest hop with the record's code, or else the slowest hop.

    Of equally deep hops with the code, it is the last one: the hop of the entry node
    comes before that of the instance that refused, and earlier attempts come before
    later ones.
    """
    hops = record.hops
    refused = [index for index, hop in enumerate(hops) if hop.code != 0]
    same = [index for index in refused if hops[index].code == record.code]
    own_ms = [measure_own_run(hops, index) for index in range(len(hops))]
    if record.code != 0 and (same or refused):
        decisive = max(same or refused, key=lambda index: (hops[index].depth, index))
    elif record.code == 0 and hops:
        decisive = max(
            range(len(hops)), key=lambda index: hops[index].wait_ms + own_ms[index]
        )
    else:
        return None
    return DecisiveHop(hops[decisive], own_ms[decisive])


def write_conclusion(record: _call_record.CallRecord) -> str:
    """Return a sentence that names the decisive hop, its rule and its facts."""
    decisive = find_decisive_hop(record)
    if decisive is None:
        return (
            f"The entry node {record.entry_instance} ended the request itself with "
            f"code {name_code(record.code)}: {describe_code(record.code)}"
        )
    hop = decisive.hop
    name = f"{hop.instance} ({hop.service})"
    facts = (
        f"limit {hop.limit}, {hop.in_flight} in flight, {hop.queue_length} queued, "
        f"{hop.deadline_left_ms:.1f} ms of the deadline left, "
        f"ticket {hop.ticket_number} in force, attempt {hop.attempts}"
    )
    if hop.code != 0:
        return (
            f'{name} ended the call by the rule "{hop.rule}" with code '
            f"{name_code(hop.code)}: {describe_code(hop.code)} ({facts})"
        )
    between_ms = measure_unrecorded_time(record)
    if between_ms > hop.wait_ms + decisive.own_run_ms:
        return (
            f"{between_ms:.1f} ms of {record.took_ms:.1f} ms passed between nodes, in "
            f"no recorded hop; the slowest hop is {name} with {hop.wait_ms:.1f} ms in "
            f"the queue and {decisive.own_run_ms:.1f} ms at the target. ({facts})"
        )
    return (
        f"{name} took the largest part of {record.took_ms:.1f} ms: "
        f"{hop.wait_ms:.1f} ms in the queue and {decisive.own_run_ms:.1f} ms at the "
        f"target without nested calls. ({facts})"
    )
