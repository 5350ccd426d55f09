"""Look-up of routes by host and path."""

from collections.abc import Iterable

from jujubetiller.routes import _route


class RouteTable:
    """Finds the route with the longest prefix of a path.

    The time of a look-up grows with the number of slashes in the path and not
    with the number of routes.
    """

    def __init__(self, routes: Iterable[_route.Route]) -> None:
        self.by_host: dict[str, dict[str, _route.Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> _route.Route | None:
        """Return the route for ``path``, which may end with a query."""
        by_prefix = self.by_host.get(host.lower())
        if by_prefix is None:
            by_prefix = self.by_host.get(host.rpartition(":")[0].lower())
        if by_prefix is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
