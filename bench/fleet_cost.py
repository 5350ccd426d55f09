"""Measures the time until a ticket is in force and the cost of idle nodes.

Fleets of processes share this machine; the slopes over their sizes are what
``docs/CAPACITY.md`` extrapolates from. The baselines are the time until the
platform itself serves the ticket, and a process that has only imported the
node's modules.
"""

import statistics
import subprocess
import sys
import time
from typing import Any

import attrs

from bench import figures, fleet_site, light_client, processes
from standins import site

SEVERAL_ZONES = 3
SIZES = ((6, SEVERAL_ZONES), (12, SEVERAL_ZONES), (24, SEVERAL_ZONES),
         (48, SEVERAL_ZONES), (48, 1))  # fmt: skip
WARM_UP_S = 2.0
IDLE_S = 6.0
TICKETS = 2
IN_FORCE_TIMEOUT_S = 20.0

TICKET_BOUND_S = 4.0
PROCESSOR_BOUND_PERCENT = 3.1
BYTES_BOUND = 8_000.0
MEMORY_BOUND_MB = 32.0

IMPORTS = {
    "bare interpreter": "pass",
    "reactor and twisted.web": "import twisted.internet.reactor, twisted.web.http",
    "all modules of a node": "import jujubetiller.node, twisted.internet.reactor",
}


@attrs.frozen
class FleetResult:
    """Holds the results of one fleet.

    Costs are means over its nodes; ``most_`` fields are the highest of any node.
    """

    nodes: int
    zones: int
    ticket_s: float
    platform_s: float
    processor_percent: float
    sent_per_s: float
    received_per_s: float
    most_sent_per_s: float
    resident_mb: float
    most_resident_mb: float


def measure_imports() -> dict[str, float]:
    """Return the resident megabytes after imports, measured in new processes."""
    sizes = {}
    for name, statement in IMPORTS.items():
        code = (
            f"{statement}\nimport os\nfrom bench import processes\n"
            "print(processes.read_resident_mb(os.getpid()))"
        )
        output = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        ).stdout
        sizes[name] = float(output)
    return sizes


def measure_ticket(local_site: site.LocalSite, number: int) -> tuple[float, float]:
    """Publish a ticket; return the seconds until the platform and all nodes have it.

    Nodes are polled one after the other, so the time includes the polling.
    """
    assert local_site.platform is not None
    clients = [
        light_client.LightClient(child.hello["admin"], "/view")
        for child in local_site.nodes.values()
    ]
    values = {"host": "127.0.0.1", "port": local_site.platform.hello["values"]}
    published = light_client.LightClient(values, f"/v1/values/tickets/{number}")
    started_s = time.perf_counter()
    local_site.publish_ticket(fleet_site.make_ticket(number))
    published.call()
    platform_s = time.perf_counter() - started_s
    expected = f'"ticket_number": {number}'.encode()
    for client in clients:
        while expected not in client.fetch():
            if time.perf_counter() - started_s > IN_FORCE_TIMEOUT_S:
                raise RuntimeError(f"ticket {number} is not in force everywhere")
    in_force_s = time.perf_counter() - started_s
    for client in (*clients, published):
        client.close()
    return in_force_s, platform_s


def measure_fleet(nodes: int, zones: int) -> FleetResult:
    """Measure one fleet."""
    with fleet_site.FleetSite(fleet_site.make_plan(nodes, zones)) as local_site:
        time.sleep(WARM_UP_S)
        before, started_s = local_site.read_usage(), time.perf_counter()
        time.sleep(IDLE_S)
        after, seconds = local_site.read_usage(), time.perf_counter() - started_s
        resident = [
            processes.read_resident_mb(child.process.pid)
            for child in local_site.nodes.values()
        ]
        times = [measure_ticket(local_site, 2 + at) for at in range(TICKETS)]

    def find_rates(field: str) -> list[float]:
        return [
            (getattr(after[name], field) - getattr(before[name], field)) / seconds
            for name in after
        ]

    return FleetResult(
        nodes,
        zones,
        max(in_force for in_force, _ in times),
        max(platform for _, platform in times),
        statistics.mean(find_rates("processor_s")) * 100,
        statistics.mean(find_rates("sent")),
        statistics.mean(find_rates("received")),
        max(find_rates("sent")),
        statistics.mean(resident),
        max(resident),
    )


def describe(fleet: FleetResult, imported_mb: float) -> list[figures.Figure]:
    """Return the figures of one fleet."""
    name = f"fleet of {fleet.nodes} in {fleet.zones} zones:"
    added_mb = fleet.most_resident_mb - imported_mb
    return [
        figures.Figure(
            f"{name} ticket in force everywhere",
            *(fleet.ticket_s, "s", fleet.platform_s, TICKET_BOUND_S),
        ),
        figures.Figure(
            f"{name} processor of an idle node",
            *(fleet.processor_percent, "%", None, PROCESSOR_BOUND_PERCENT),
        ),
        figures.Figure(
            f"{name} bytes sent a second by an idle node",
            *(fleet.sent_per_s, "B/s", None, BYTES_BOUND),
        ),
        figures.Figure(
            f"{name} bytes sent a second by the busiest node",
            *(fleet.most_sent_per_s, "B/s", None, BYTES_BOUND),
        ),
        figures.Figure(
            f"{name} resident memory beyond imports",
            *(added_mb, "MB", imported_mb, MEMORY_BOUND_MB),
        ),
    ]


def describe_slopes(fleets: list[FleetResult]) -> list[figures.Figure]:
    """Return the slopes and intercepts over the sizes in several zones."""
    chosen = [fleet for fleet in fleets if fleet.zones == SEVERAL_ZONES]
    sizes = [float(fleet.nodes) for fleet in chosen]
    found = []
    for field, unit in (
        ("ticket_s", "s"),
        ("processor_percent", "%"),
        ("sent_per_s", "B/s"),
        ("received_per_s", "B/s"),
        ("resident_mb", "MB"),
    ):
        values: list[Any] = [getattr(fleet, field) for fleet in chosen]
        slope, base = figures.fit_slope(sizes, values)
        found += [
            figures.Figure(f"idle node: {field}, slope for a node", slope, unit),
            figures.Figure(f"idle node: {field}, intercept", base, unit),
        ]
    return found


def measure() -> list[figures.Figure]:
    """Measure imports and all fleets."""
    imports = measure_imports()
    imported_mb = imports["all modules of a node"]
    fleets = [measure_fleet(nodes, zones) for nodes, zones in SIZES]
    return [
        *(
            figures.Figure(f"resident memory: {name}", size, "MB")
            for name, size in imports.items()
        ),
        *(one for fleet in fleets for one in describe(fleet, imported_mb)),
        *describe_slopes(fleets),
    ]


if __name__ == "__main__":
    figures.print_figures(measure())
