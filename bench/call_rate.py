"""Measures the calls per second of one node and its processor time per call.

In one run the clients call through a single entry node, in another through several
entry nodes that share one peer node. The baseline is the bare target without nodes.
"""

from typing import Any

from bench import call_site, figures, light_client, processes
from standins import site

SECONDS = 4.0
CONNECTIONS = 24
ENTRIES = 3

CALLS_PER_NODE_BOUND = 910_000 / 4_000
"""Calls per second at the design scale, divided by its number of nodes."""


def drive(
    local_site: site.LocalSite, addresses: list[dict[str, Any]]
) -> tuple[float, dict[str, float]]:
    """Return calls per second, and processor microseconds per call by process."""
    clients = [
        light_client.LightClient(addresses[index % len(addresses)], call_site.PATH)
        for index in range(CONNECTIONS)
    ]
    light_client.run_closed_loop(clients, SECONDS / 8)
    children = dict(local_site.nodes) | {"target": local_site.targets["echo-1"]}
    before = {
        name: processes.read_processor_s(child.process.pid)
        for name, child in children.items()
    }
    finished = light_client.run_closed_loop(clients, SECONDS)
    costs = {
        name: (processes.read_processor_s(child.process.pid) - before[name])
        / finished
        * 1e6
        for name, child in children.items()
    }
    failures = sum(client.failures for client in clients)
    for client in clients:
        client.close()
    if failures:
        raise RuntimeError(f"{failures} calls failed")
    return finished / SECONDS, costs


def measure() -> list[figures.Figure]:
    """Measure a peer node, an entry node and the bare target."""
    with call_site.CallSite(call_site.make_plan(ENTRIES)) as local_site:
        fronts = [
            local_site.edge_address(f"front-{index}") for index in range(1, ENTRIES + 1)
        ]
        bare_rate, bare_costs = drive(local_site, [local_site.target_address("echo-1")])
        entry_rate, entry_costs = drive(local_site, fronts[:1])
        peer_rate, peer_costs = drive(local_site, fronts)
    target_us = bare_costs["target"]
    entry_us, peer_us = entry_costs["front-1"], peer_costs["echo-1"]
    both_share = CALLS_PER_NODE_BOUND * (entry_us + peer_us) / 1e6
    rates = (("entry", entry_rate), ("peer", peer_rate))
    return [
        *(
            figures.Figure(
                f"{role} node: calls a second of one core",
                *(rate, "1/s", bare_rate, CALLS_PER_NODE_BOUND),
                more_is_better=True,
            )
            for role, rate in rates
        ),
        figures.Figure("entry node: processor per call", entry_us, "us", target_us),
        figures.Figure("peer node: processor per call", peer_us, "us", target_us),
        figures.Figure(
            "peer node: processor per call, one entry node",
            *(entry_costs["echo-1"], "us", target_us),
        ),
        figures.Figure(
            "core share of a node that enters and serves 228 calls a second",
            *(both_share * 100, "%"),
        ),
    ]


if __name__ == "__main__":
    figures.print_figures(measure())
