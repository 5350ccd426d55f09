"""One version of the configuration."""

import attrs

from jujubetiller.routes import _request_bounds, _route


@attrs.frozen
class Configuration:
    """All routes and services of one version."""

    version: int
    routes: tuple[_route.Route, ...]
    services: frozenset[str]
    bounds: _request_bounds.RequestBounds = _request_bounds.RequestBounds()
