"""A fleet of nodes as processes that share one target and get no calls."""

import json
import re
import signal
import time
from typing import Any

import attrs

from bench import processes
from standins import site

FILE_POLL_S = 0.02
TIMEOUT_S = 5.0


@attrs.frozen
class Usage:
    """Holds the resources used by a node so far; bytes are those of all sockets."""

    processor_s: float
    sent: int
    received: int


def make_ticket(number: int) -> dict[str, Any]:
    """Return a ticket that changes one service."""
    return {
        "number": number,
        "author": "bench",
        "objects": {"service/fleet": {"slots": 10 + number}},
    }


def make_plan(nodes: int, zones: int) -> site.SitePlan:
    """Return the plan of ``nodes`` nodes spread over ``zones`` zones."""
    instances = tuple(
        site.InstancePlan(f"fleet-{at:03}", "fleet", f"zone-{at % zones:02}")
        for at in range(nodes)
    )
    return site.SitePlan(instances, (make_ticket(1),))


class FleetSite(site.LocalSite):
    """Starts many nodes that share one process of ``bench.bare_target``."""

    def start_target(self, plan: site.InstancePlan) -> site.Child:
        """Start the target for the first instance; return the same for all others."""
        if self.targets:
            return next(iter(self.targets.values()))
        child = _SharedChild("bench.bare_target", [])
        child.read_hello()
        return child

    def start_node(self, plan: site.InstancePlan) -> site.Child:
        """Start a node that counts its bytes."""
        return site.Child(
            "bench.counted_node", [], json.dumps(self.make_settings(plan))
        )

    def set_route(self, instance: str) -> None:
        """Set no routes, because the target makes no calls."""

    def read_usage(self) -> dict[str, Usage]:
        """Return what every node used so far."""
        pattern = re.compile(r"^bytes (\d+) (\d+)$", re.MULTILINE)
        before = {
            name: len(pattern.findall(child.read_errors()))
            for name, child in self.nodes.items()
        }
        for child in self.nodes.values():
            child.signal(signal.SIGUSR1)
        usage = {}
        deadline = time.monotonic() + TIMEOUT_S
        for name, child in self.nodes.items():
            while len(found := pattern.findall(child.read_errors())) == before[name]:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{name} reports no bytes")
                time.sleep(FILE_POLL_S)
            sent, received = map(int, found[-1])
            processor_s = processes.read_processor_s(child.process.pid)
            usage[name] = Usage(processor_s, sent, received)
        return usage


class _SharedChild(site.Child):
    """Allows several instances to share a process; its first line is read once."""

    def read_hello(self) -> dict[str, Any]:
        """Return the first line, which is read from the process only once."""
        return self.hello or super().read_hello()
