"""Measures the time that nodes add to a call.

The baseline is a call of the same kind of client directly to the target. The two
alternate (calls at a fixed rate: in blocks), so that noise of the machine affects both.
"""

from bench import call_site, figures, light_client

SEQUENTIAL_CALLS = 4_000
OPEN_LOOP_BLOCKS = 6
BLOCK_CALLS = 250
OPEN_LOOP_RATE = 250.0
WARM_UP_CALLS = 1_000

ADDED_P99_BOUND_MS = 0.55


def compare(
    name: str, direct: list[float], measured: list[float]
) -> list[figures.Figure]:
    """Return the differences of quantiles, and the p99 of paired differences."""
    found = []
    for label, share, bound in (("p50", 0.5, None), ("p99", 0.99, ADDED_P99_BOUND_MS)):
        baseline = figures.find_quantile(direct, share)
        added = figures.find_quantile(measured, share) - baseline
        found.append(
            figures.Figure(f"{name} added {label}", added, "ms", baseline, bound)
        )
    pairs = [one - other for one, other in zip(measured, direct, strict=True)]
    paired = figures.find_quantile(pairs, 0.99)
    found.append(figures.Figure(f"{name} added p99 of pairs", paired, "ms"))
    return found


def measure() -> list[figures.Figure]:
    """Measure one call at a time and calls at a fixed rate."""
    with call_site.CallSite(call_site.make_plan(entries=1)) as local_site:
        clients = [
            light_client.LightClient(address, call_site.PATH)
            for address in (
                local_site.target_address("echo-1"),
                local_site.edge_address("echo-1"),
                local_site.edge_address("front-1"),
            )
        ]
        light_client.run_interleaved(clients, WARM_UP_CALLS)
        sequential = light_client.run_interleaved(clients, SEQUENTIAL_CALLS)
        open_loop: tuple[list[float], list[float]] = ([], [])
        for _ in range(OPEN_LOOP_BLOCKS):
            for client, times_ms in zip(clients[::2], open_loop, strict=True):
                times_ms += light_client.run_open_loop(
                    client, BLOCK_CALLS, OPEN_LOOP_RATE
                )
        failures = sum(client.failures for client in clients)
        for client in clients:
            client.close()
    return [
        *compare("call, two nodes, sequential:", sequential[0], sequential[2]),
        *compare("call, own node only, sequential:", sequential[0], sequential[1]),
        *compare("call, two nodes, open loop:", open_loop[0], open_loop[1]),
        figures.Figure("call, failures in latency runs", failures, "calls", 0, 0),
    ]


if __name__ == "__main__":
    figures.print_figures(measure())
