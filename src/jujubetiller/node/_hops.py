"""Creation of hop records."""

from jujubetiller import codes, records
from jujubetiller.node import _node_parts


def make_hop(
    parts: _node_parts.NodeParts,
    rule: str,
    code: codes.ResultCode,
    *,
    service: str = "",
    wait_ms: float = 0.0,
    run_ms: float = 0.0,
    deadline_left_ms: float = 0.0,
    attempts: int = 1,
    depth: int = 0,
) -> records.HopRecord:
    """Return a hop record with the current state of this node."""
    return records.HopRecord(
        instance=parts.settings.instance,
        service=service or parts.settings.service,
        rule=rule,
        code=code.value,
        wait_ms=wait_ms,
        run_ms=run_ms,
        limit=parts.guard.limit,
        in_flight=parts.guard.in_flight,
        queue_length=parts.guard.queue_length,
        deadline_left_ms=deadline_left_ms,
        ticket_number=parts.tickets.number,
        attempts=attempts,
        platform_age_ms=parts.freshness.age_ms(),
        depth=depth,
    )
