"""What the router and the throttles learn from the ends of attempts and requests."""

from jujubetiller import calls, codes, routing
from jujubetiller.mesh import _mesh_parts

_Code = codes.ResultCode

LATE_ANSWER_WEIGHT = 0.5
"""The part of a failure that an answer beyond the latency objective counts as."""

# Codes of a node that stops or is unreachable, while its target may still be running.
_NODE_UNREACHABLE_CODES = frozenset((_Code.DRAINING, _Code.PEER_UNREACHABLE))


# What these say is about one request, not about the load of its service.
_CRASH_CODES = frozenset(
    (
        _Code.REQUEST_CRASHES_TARGETS,
        _Code.SUSPECT_NOT_TRIED,
        _Code.TARGET_CRASHED,
    )
)

_KEY_CODES = frozenset((_Code.KEYS_NOT_CURRENT, _Code.UNKNOWN_API_KEY))


def shows_load(code: codes.ResultCode) -> bool:
    """Return whether the end of a request tells a throttle about its service."""
    return code not in _CRASH_CODES and code not in _KEY_CODES


def report_attempt(
    parts: _mesh_parts.MeshParts,
    instance: routing.RoutableInstance,
    answer: calls.CallAnswer,
    took_ms: float,
    route: str,
) -> None:
    """Report the result of an attempt to the router."""
    if answer.code in _NODE_UNREACHABLE_CODES:
        # Only the node may have stopped: it is probed until it is reachable again.
        unreachable = calls.make_refusal(_Code.PEER_UNREACHABLE)
        parts.router.record_answer(instance, unreachable, took_ms)
        parts.router.mark_unreachable(instance)
        parts.prober.start_probing(instance)
        return
    parts.router.record_answer(instance, answer, took_ms, route)


def weigh_failure(status: int, took_ms: float, objective_ms: float) -> float:
    """Return 1 for a failure, ``LATE_ANSWER_WEIGHT`` for a late answer, else 0."""
    if status >= calls.LOWEST_FAILURE_STATUS:
        return 1.0
    return LATE_ANSWER_WEIGHT * (took_ms > objective_ms)
