"""A stand-in for a target with slots, a queue and nested calls."""

from standins.target._plan import NestedCall, PathPlan, TargetPlan, TargetState
from standins.target._run_counters import RunCounters
from standins.target._target_site import TargetSite

__all__ = [
    "NestedCall",
    "PathPlan",
    "RunCounters",
    "TargetPlan",
    "TargetSite",
    "TargetState",
]
