"""The conversion of a client's request to a call."""

from jujubetiller import calls, edge, limits, routes, teams
from jujubetiller.mesh import _header_names, _mesh_parts

ROUTE_CLASSES_PER_TEAM_CLASS = 1_024
"""A class of routes above this counts as the least important one of its team."""


def make_request(
    parts: _mesh_parts.MeshParts,
    message: edge.EdgeMessage,
    route: routes.Route,
    service: str,
    team: teams.Team | None = None,
) -> calls.CallRequest:
    """Return the call for a request, with the headers for the target.

    With teams in the configuration, the header with the API key is left out.
    """
    has_teams = has_teams_in_force(parts)
    priority_class = find_priority_class(parts, route, team)
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
        priority_class=priority_class,
        rank=limits.compute_rank(priority_class, request_id),
        idempotent=route.idempotent,
        deadline_left_ms=0.0,
        headers=(
            *(drop_key(names, message.headers) if has_teams else message.headers),
            *passed,
            (names.caller_service, parts.settings.service),
        ),
        body=message.body,
        team="" if team is None else team.name,
    )


def find_priority_class(
    parts: _mesh_parts.MeshParts, route: routes.Route, team: teams.Team | None
) -> int:
    """Return the class of a request, in which its team goes before its route.

    A request without a team, such as a call of a target, may be made for any of them.
    It counts as one of the least important team: otherwise all such calls would go
    before what the clients of those teams ask for themselves.
    """
    configuration = parts.configuration.current
    if configuration is None or not configuration.team_table:
        return route.priority_class
    team_class = configuration.team_table.least_important_class
    if team is not None:
        team_class = team.priority_class
    within = min(route.priority_class, ROUTE_CLASSES_PER_TEAM_CLASS - 1)
    return ROUTE_CLASSES_PER_TEAM_CLASS * team_class + within


def name_throttle(route: routes.Route, team: teams.Team | None) -> str:
    """Return the name of the throttle of requests of a route and a team.

    Requests of one route have a throttle for each class of their teams.
    """
    if team is None or not team.priority_class:
        return route.name
    return f"{route.name} (team class {team.priority_class})"


def has_teams_in_force(parts: _mesh_parts.MeshParts) -> bool:
    """Return whether the configuration in force has teams."""
    configuration = parts.configuration.current
    return configuration is not None and bool(configuration.team_table)


def drop_key(
    names: _header_names.HeaderNames, headers: tuple[tuple[str, str], ...]
) -> tuple[tuple[str, str], ...]:
    """Return ``headers`` without the one that holds the API key."""
    return tuple(pair for pair in headers if pair[0].lower() != names.authorization)
