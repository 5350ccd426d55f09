"""The choice of the instance that a call is sent to."""

from jujubetiller.routing._instance_stats import InstanceStats
from jujubetiller.routing._latency_weighted_pool import LatencyWeightedPool
from jujubetiller.routing._latency_weighted_router import LatencyWeightedRouter
from jujubetiller.routing._routable_instance import RoutableInstance
from jujubetiller.routing._router import Router
from jujubetiller.routing._service_pool import ServicePool
from jujubetiller.routing._spill_share import SpillShare
from jujubetiller.routing._spilling_pool import SpillingPool

__all__ = [
    "InstanceStats",
    "LatencyWeightedPool",
    "LatencyWeightedRouter",
    "RoutableInstance",
    "Router",
    "ServicePool",
    "SpillShare",
    "SpillingPool",
]
