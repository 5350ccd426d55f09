"""The throttles of the routes at an entry node."""

import random

from jujubetiller import clock
from jujubetiller.congestion import _route_throttle

MAX_ROUTES = 4_096

LOWEST_TARGET_DELAY_MS = 60.0
"""``target_delay_ms`` of the least important routes."""

TARGET_DELAY_STEP_MS = 130.0
"""Added to ``target_delay_ms`` for each class above the least important one."""

LEAST_IMPORTANT_CLASS = 2


class Throttles:
    """Holds the throttles of at most ``MAX_ROUTES`` routes that have requests."""

    def __init__(self, time_source: clock.Clock, random_source: random.Random) -> None:
        self.clock = time_source
        self.random = random_source
        self.by_route: dict[str, _route_throttle.RouteThrottle] = {}
        self.refused = 0

    def find(self, route: str, priority_class: int) -> _route_throttle.RouteThrottle:
        """Return the throttle of a route, which is created if missing."""
        throttle = self.by_route.get(route)
        if throttle is None:
            if len(self.by_route) >= MAX_ROUTES:
                self.by_route.pop(next(iter(self.by_route)))
            steps = max(0, LEAST_IMPORTANT_CLASS - priority_class)
            throttle = _route_throttle.RouteThrottle(
                self.clock,
                self.random,
                LOWEST_TARGET_DELAY_MS + TARGET_DELAY_STEP_MS * steps,
            )
            self.by_route[route] = throttle
        return throttle
