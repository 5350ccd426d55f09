"""A small site whose targets answer at once, to measure the cost of calls."""

import json
from typing import Any

from standins import site

PATH = "/echo/call"
SLOTS = 2_000


def make_ticket() -> dict[str, Any]:
    """Return the ticket with one service and one kind."""
    kind = {
        "service": "echo",
        "method": "GET",
        "path_prefix": "/call",
        "priority_class": 2,
        "idempotent": True,
        "deadline_ms": 5_000,
        "retry_tokens": 1,
    }
    return {
        "number": 1,
        "author": "bench",
        "objects": {"service/echo": {"slots": SLOTS}, "request_kind/echo": kind},
    }


def make_plan(entries: int) -> site.SitePlan:
    """Return the plan of one ``echo`` instance and ``entries`` entry nodes."""
    limits = {"limits": {"slots": SLOTS}}
    fronts = (
        site.InstancePlan(f"front-{index}", "front", "zone-a", {}, limits)
        for index in range(1, entries + 1)
    )
    echo = site.InstancePlan("echo-1", "echo", "zone-a", {}, limits)
    return site.SitePlan((echo, *fronts), (make_ticket(),))


class CallSite(site.LocalSite):
    """A local site in which bare targets replace the stand-in targets."""

    def start_target(self, plan: site.InstancePlan) -> site.Child:
        """Start a bare target."""
        return site.Child("bench.bare_target", [json.dumps({})])
