"""Routes from hosts and path prefixes to services in one configuration."""

from jujubetiller.routes._configuration import Configuration
from jujubetiller.routes._destination import Destination
from jujubetiller.routes._request_bounds import RequestBounds
from jujubetiller.routes._route import Route
from jujubetiller.routes._route_table import RouteTable
from jujubetiller.routes._weighted_choice import WeightedChoice

__all__ = [
    "Configuration",
    "Destination",
    "RequestBounds",
    "Route",
    "RouteTable",
    "WeightedChoice",
]
