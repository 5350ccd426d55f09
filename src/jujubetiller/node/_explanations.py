"""Call records and metrics of ended requests."""

import datetime

from jujubetiller import calls, codes, records
from jujubetiller.node import _hops, _node_parts

DEFAULT_SLOW_MS = 1_000
"""Answers slower than this get a call record if no ticket sets another time."""


def make_record(
    parts: _node_parts.NodeParts,
    request: calls.CallRequest,
    answer: calls.CallAnswer,
    took_ms: float,
    deadline_left_ms: float,
) -> str:
    """Return the signed call record of a slow, refused or unknown answer."""
    entry_hop = _hops.make_hop(
        parts,
        "entry",
        answer.code,
        service=request.service,
        deadline_left_ms=deadline_left_ms,
        attempts=request.attempt,
    )
    now = datetime.datetime.now(datetime.UTC)
    return parts.record_signer.sign(
        records.CallRecord(
            tree_id=request.tree_id,
            service=request.service,
            method=request.method,
            path=request.path,
            kind=request.kind,
            entry_instance=parts.settings.instance,
            outcome=answer.outcome.value,
            code=answer.code.value,
            took_ms=took_ms,
            wall_time=now.isoformat(timespec="milliseconds"),
            hops=(entry_hop, *answer.hops),
        )
    )


def count(
    parts: _node_parts.NodeParts,
    request: calls.CallRequest,
    answer: calls.CallAnswer,
    took_ms: float,
) -> None:
    """Update the metrics of requests with an ended request."""
    metrics = parts.metrics
    metrics.count_outcome(request.kind, request.priority_class, answer.outcome)
    metrics.observe_call(took_ms)
    if answer.outcome is not codes.Outcome.ANSWERED:
        metrics.count_refusal(answer.code.value)


def observe_added(
    parts: _node_parts.NodeParts, answer: calls.CallAnswer, took_ms: float
) -> None:
    """Record the time that the nodes added to an answered call.

    It is the time that the call spent neither at the target nor in its queue.
    """
    if answer.hops:
        hop = answer.hops[0]
        # The durations come from the clocks of two nodes, so their difference may
        # be slightly negative.
        parts.metrics.observe_added(max(0.0, took_ms - hop.run_ms - hop.wait_ms))
