"""Guards against failures of requests that no instance has received.

Open connections between nodes may stop delivering without a reset, while new ones work.
"""

import pytest

from standins.fleet import mesh_fleet

SERVICES = {f"{s}-{zone}": s for s in ("booth", "ledger") for zone in (1, 2, 3)}
CALLERS = tuple(name for name in SERVICES if name.startswith("ledger"))


def silence_streams(fleet: mesh_fleet.MeshFleet) -> None:
    """Let all open streams between nodes go silent."""
    for name in SERVICES:
        for other in SERVICES:
            fleet.network.silence(name, other)


@pytest.mark.parametrize("kind", ["get", "book"])
@pytest.mark.parametrize("idle_ms", [0.0, 3_000.0])
def test_requests_on_silent_streams_are_sent_again(kind: str, idle_ms: float) -> None:
    fleet = mesh_fleet.MeshFleet(SERVICES)
    fleet.run_load(1_000.0, 50.0, *CALLERS)
    fleet.network.run_for(idle_ms)
    silence_streams(fleet)
    since_ms = fleet.network.now_ms
    for number in range(40):
        for entry in CALLERS:
            fleet.send(entry, kind, time_left_ms=3_000, name=str(number))
        fleet.network.run_for(20.0)
    fleet.network.run_for(4_000.0)
    assert fleet.count_statuses(kind, since_ms) == {200: 40 * len(CALLERS)}
    runs = {
        request: sum(site.runs[request] for site in fleet.instances.values())
        for site in fleet.instances.values()
        for request in site.runs
        if request.startswith("book")
    }
    assert set(runs.values()) <= {1}
