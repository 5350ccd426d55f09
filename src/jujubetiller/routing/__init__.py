"""The choice of the instance that a call is sent to."""

from jujubetiller.routing._instance_stats import InstanceStats
from jujubetiller.routing._latency_weighted_pool import LatencyWeightedPool
from jujubetiller.routing._latency_weighted_router import LatencyWeightedRouter
from jujubetiller.routing._load_report import LoadReport
from jujubetiller.routing._other_zone_share import OtherZoneShare
from jujubetiller.routing._room_weighted_pool import RoomWeightedPool
from jujubetiller.routing._room_weighted_router import RoomWeightedRouter
from jujubetiller.routing._routable_instance import RoutableInstance
from jujubetiller.routing._router import Router
from jujubetiller.routing._service_pool import ServicePool
from jujubetiller.routing._spill_share import SpillShare
from jujubetiller.routing._spilling_pool import SpillingPool

__all__ = [
    "InstanceStats",
    "LatencyWeightedPool",
    "LatencyWeightedRouter",
    "LoadReport",
    "OtherZoneShare",
    "RoomWeightedPool",
    "RoomWeightedRouter",
    "RoutableInstance",
    "Router",
    "ServicePool",
    "SpillShare",
    "SpillingPool",
]
