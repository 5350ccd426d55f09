"""The conversion of a client's request to a call."""

from jujubetiller import calls, edge, limits, routes
from jujubetiller.mesh import _mesh_parts


def make_request(
    parts: _mesh_parts.MeshParts,
    message: edge.EdgeMessage,
    route: routes.Route,
    service: str,
) -> calls.CallRequest:
    """Return the call for a request, with the headers for the target."""
    names = parts.headers
    own = (
        names.deadline_ms,
        names.expected_instance,
        names.caller_service,
        names.team,
    )
    passed = [pair for pair in message.control.items() if pair[0] not in own]
    request_id = message.control.get(names.request_id, "")
    return calls.CallRequest(
        service=service,
        method=message.method,
        path=message.path,
        kind=route.name,
        priority_class=route.priority_class,
        rank=limits.compute_rank(route.priority_class, request_id),
        idempotent=route.idempotent,
        deadline_left_ms=0.0,
        headers=(
            *message.headers,
            *passed,
            (names.caller_service, parts.settings.service),
        ),
        body=message.body,
    )
