"""One version of the configuration."""

import attrs

from jujubetiller import teams
from jujubetiller.routes import _request_bounds, _route


@attrs.frozen
class Configuration:
    """All routes and services of one version."""

    version: int
    routes: tuple[_route.Route, ...]
    services: frozenset[str]
    bounds: _request_bounds.RequestBounds = _request_bounds.RequestBounds()

    team_table: teams.TeamTable = attrs.field(factory=teams.TeamTable)
    """If it holds teams, requests on routes that are not public need an API key."""
