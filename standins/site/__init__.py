"""A complete site (platform, targets, nodes) as local processes."""

from standins.site._child import Child
from standins.site._explain import explain
from standins.site._http_json import request_json
from standins.site._local_site import LocalSite
from standins.site._promises import find_broken_promises, sum_runs
from standins.site._site_plan import InstancePlan, SitePlan

__all__ = [
    "explain",
    "Child",
    "InstancePlan",
    "LocalSite",
    "SitePlan",
    "find_broken_promises",
    "request_json",
    "sum_runs",
]
