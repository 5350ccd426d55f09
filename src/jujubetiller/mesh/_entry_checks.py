"""The checks of a client's request at its entry node."""

from collections.abc import Callable

import result

from jujubetiller import codes
from jujubetiller.mesh import (
    _entry_decision,
    _entry_refusal,
    _entry_request,
    _ingress_call,
    _mesh_parts,
    _pending_verdict,
    _request,
    _retry_pause,
)

_Code = codes.ResultCode

Verdict = _entry_request.EntryRefusal | _pending_verdict.PendingVerdict | None
Check = Callable[[_mesh_parts.MeshParts, _entry_request.EntryRequest], Verdict]


def check_ready(
    parts: _mesh_parts.MeshParts, entry: _entry_request.EntryRequest
) -> Verdict:
    """Refuse requests before the node has compared what it has read with its peers."""
    if parts.is_ready():
        return None
    return _entry_request.EntryRefusal(
        _Code.NOT_READY,
        "the node has not yet read the configuration and the instances, or compared "
        "them with its peers",
    )


def check_route(
    parts: _mesh_parts.MeshParts, entry: _entry_request.EntryRequest
) -> Verdict:
    """Find the route of a request; refuse it if there is none."""
    message = entry.message
    host = _ingress_call.find_header(message.headers, "host") or ""
    entry.route = parts.configuration.table.find(host, message.path)
    if entry.route is not None:
        return None
    return _entry_request.EntryRefusal(
        _Code.NO_ROUTE, f"host {host!r}, path {message.path!r}"
    )


def check_key(
    parts: _mesh_parts.MeshParts, entry: _entry_request.EntryRequest
) -> Verdict:
    """Find the team of a request; refuse it without a key that may be used now."""
    configuration, route = parts.configuration.current, entry.route
    if configuration is None or route is None:
        return _entry_request.EntryRefusal(_Code.NOT_READY)
    checked = parts.keys.check(configuration, route, entry.message.headers)
    if isinstance(checked, result.Ok):
        entry.holder = checked.ok_value
        return None
    code = checked.err_value
    parts.metrics.count_refusal(code.value)
    request_id = entry.message.control.get(parts.headers.request_id, "")
    parts.keys.log_refusal(request_id, route.name, code, configuration.version)
    return _entry_request.EntryRefusal(code)


def check_admission(
    parts: _mesh_parts.MeshParts, entry: _entry_request.EntryRequest
) -> Verdict:
    """Refuse a request if a service that it needs lacks room for it."""
    route, team = entry.route, entry.team
    if route is None:
        return _entry_request.EntryRefusal(_Code.NO_ROUTE)
    priority_class = _request.find_priority_class(parts, route, team)
    team_name = "" if team is None else team.name
    throttle = parts.throttles.find(_request.name_throttle(route, team), priority_class)
    entry.throttle = throttle
    if _entry_decision.admits(parts, throttle, route.name, priority_class, team_name):
        return None
    _entry_refusal.report_overload(parts, route, throttle, entry.message, team_name)
    refused_share = _entry_decision.refused_share(parts, route.name, team_name)
    return _entry_request.EntryRefusal(
        _Code.OVERLOADED_DOWNSTREAM,
        pause=_retry_pause.RetryPause(refused_share=refused_share),
    )


CHECKS: tuple[Check, ...] = (check_ready, check_route, check_key, check_admission)
"""The checks in their order, cheapest and most certain first."""
