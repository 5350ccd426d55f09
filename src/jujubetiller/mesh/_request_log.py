"""The log line of a request that failed, was slow or was sent more than once."""

import attrs
import logbook

from jujubetiller import calls

_LOG = logbook.Logger("jujubetiller.mesh.request")


@attrs.frozen
class RequestEnd:
    """How a request ended, with what decided it."""

    request: str
    """The request's id."""

    route: str
    service: str
    answer: calls.CallAnswer
    status: int
    """The HTTP status that the client gets."""

    arrivals: int
    """Attempts in which an instance may have received the request."""

    instances: tuple[str, ...]
    """The instances that the request was sent to, in order."""

    took_ms: float
    left_ms: float
    queue_delay_ms: float
    admitted_share: float
    """The share of the route's requests that this node admitted."""

    version: int
    """The version of the configuration in force."""


def log_end(end: RequestEnd) -> None:
    """Log how a request ended."""
    _LOG.info(
        "request ended: {}",
        end.answer.code.name,
        extra={
            "request": end.request,
            "route": end.route,
            "service": end.service,
            "code": end.answer.code.value,
            "status": end.status,
            "sends": len(end.instances),
            "arrivals": end.arrivals,
            "instances": end.instances,
            "took_ms": round(end.took_ms, 1),
            "queue_delay_ms": round(end.queue_delay_ms, 1),
            "admitted_share": round(end.admitted_share, 2),
            "rate_limit_per_s": end.answer.rate_limit_per_s,
            "left_ms": round(end.left_ms, 1),
            "version": end.version,
        },
    )
