"""What follows from the end of a client's request."""

import attrs

from jujubetiller import calls, codes, congestion, routes
from jujubetiller.mesh import _call_reports, _mesh_parts, _request_log

RATE_LIMITED_DELAY_MS = 100.0
"""The queueing delay that is recorded for a request that no instance had room for."""


@attrs.frozen
class RequestSummary:
    """A request as it stands when it is answered."""

    request_id: str
    route: routes.Route
    service: str

    tried: tuple[str, ...]
    """The instances that the request was sent to, in order."""

    arrivals: int
    """Attempts in which an instance may have received the request."""

    took_ms: float
    left_ms: float

    queue_delay_ms: float
    """The longest queueing delay that answers to the request reported."""

    admitted_share: float
    """Share of such requests that the node admits."""


def report_end(
    parts: _mesh_parts.MeshParts,
    throttle: congestion.RouteThrottle,
    summary: RequestSummary,
    answer: calls.CallAnswer,
    status: int,
) -> None:
    """Report a request that ended with ``answer`` to metrics, log and throttle."""
    route = summary.route
    if answer.code is codes.ResultCode.RATE_LIMITED:
        # The service lacks room although no call waits: entry nodes of requests
        # that need it are to admit fewer.
        parts.delays.record(RATE_LIMITED_DELAY_MS)
    parts.metrics.observe_call(summary.took_ms)
    parts.metrics.count_outcome(route.name, route.priority_class, answer.outcome)
    parts.metrics.count_refusal(answer.code.value)
    _log_unless_usual(parts, summary, answer, status)
    if summary.tried and _call_reports.shows_load(answer.code):
        failure = _call_reports.weigh_failure(
            status, summary.took_ms, route.latency_objective_ms
        )
        throttle.record(failure, summary.queue_delay_ms)


def _log_unless_usual(
    parts: _mesh_parts.MeshParts,
    summary: RequestSummary,
    answer: calls.CallAnswer,
    status: int,
) -> None:
    """Log the end, unless the first attempt succeeded within the objective."""
    is_late = summary.took_ms > summary.route.latency_objective_ms
    is_failure = status >= calls.LOWEST_FAILURE_STATUS
    if len(summary.tried) == 1 and not is_late and not is_failure:
        return
    _request_log.log_end(
        _request_log.RequestEnd(
            request=summary.request_id,
            route=summary.route.name,
            service=summary.service,
            answer=answer,
            status=status,
            arrivals=summary.arrivals,
            instances=summary.tried,
            took_ms=summary.took_ms,
            left_ms=summary.left_ms,
            queue_delay_ms=summary.queue_delay_ms,
            admitted_share=summary.admitted_share,
            version=parts.configuration.version,
        )
    )
