"""The decision whether a request is sent, by cost or by queueing delay."""

from jujubetiller import admission, calls, congestion
from jujubetiller.mesh import _mesh_parts


def admits(
    parts: _mesh_parts.MeshParts,
    throttle: congestion.RouteThrottle,
    route: str,
    priority_class: int,
    team: str,
) -> bool:
    """Return whether a request of ``route`` may be sent; calls of the own target may.

    The route's throttle decides if requests are not admitted by cost, and while the
    costs of the route are not known.
    """
    by_cost = parts.admission
    if by_cost is not None:
        if throttle.exempt and not team:
            by_cost.estimator.record_call(route)
            return True
        decision = by_cost.entry.decide(route, priority_class, team)
        if decision is not admission.Decision.UNKNOWN:
            return decision is admission.Decision.ADMIT
    if throttle.admits():
        return True
    parts.throttles.refused += 1
    return False


def record_answer(
    parts: _mesh_parts.MeshParts,
    throttle: congestion.RouteThrottle,
    request: calls.CallRequest,
    answer: calls.CallAnswer,
) -> None:
    """Record the costs and loads that an answer reports."""
    if parts.admission is not None:
        is_nested = throttle.exempt and not request.team
        parts.admission.record_answer(request.kind, answer, is_nested)


def admitted_share(
    parts: _mesh_parts.MeshParts,
    throttle: congestion.RouteThrottle,
    kind: str,
    team: str,
) -> float:
    """Return the share of requests that is admitted at present."""
    if parts.admission is None:
        return throttle.share
    return min(throttle.share, parts.admission.entry.share_of(kind, team))


def refused_share(parts: _mesh_parts.MeshParts, kind: str, team: str) -> float:
    """Return the share of requests of a kind that admission by cost refuses."""
    if parts.admission is None:
        return 0.0
    return 1.0 - parts.admission.entry.share_of(kind, team)
