"""Overload detection by queueing delay, and throttling of requests."""

from jujubetiller.congestion._caller_shares import CallerShares
from jujubetiller.congestion._peak_delay import PeakDelay
from jujubetiller.congestion._route_throttle import RouteThrottle
from jujubetiller.congestion._throttles import Throttles

__all__ = ["CallerShares", "PeakDelay", "RouteThrottle", "Throttles"]
