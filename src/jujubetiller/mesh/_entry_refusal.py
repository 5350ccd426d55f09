"""What follows from a request that its entry node refuses before it starts a call."""

import logbook

from jujubetiller import codes, congestion, edge, routes
from jujubetiller.mesh import _entry_decision, _mesh_parts

_LOG = logbook.Logger("jujubetiller.mesh.request")
_CODE = codes.ResultCode.OVERLOADED_DOWNSTREAM
_KIND = "request refused"


def report_overload(
    parts: _mesh_parts.MeshParts,
    route: routes.Route,
    throttle: congestion.RouteThrottle,
    message: edge.EdgeMessage,
    team: str,
) -> None:
    """Count and log a request that is refused because a service below it is full.

    Nothing is built for a log line that is suppressed: refusals come by the thousand,
    and each must cost little.
    """
    parts.metrics.count_outcome(route.name, route.priority_class, codes.Outcome.NOT_RUN)
    parts.metrics.count_refusal(_CODE.value)
    suppressed = parts.refusal_log.admit(_KIND)
    if suppressed is None:
        return
    share = _entry_decision.admitted_share(parts, throttle, route.name, team)
    _LOG.info(
        "request refused: {}",
        _CODE.name,
        extra={
            "request": message.control.get(parts.headers.request_id, ""),
            "route": route.name,
            "team": team,
            "code": _CODE.value,
            "admitted_share": round(share, 2),
            "queue_delay_ms": round(parts.delays.read(), 1),
            "unlogged": suppressed,
            "version": parts.configuration.version,
        },
    )
