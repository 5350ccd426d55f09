"""Guards against requests to an instance that says in its answers that it leaves."""

from standins.fleet import mesh_fleet

DRAIN_MS = 2_000.0
"""How long a leaving instance goes on serving."""

SERVICES = {
    "booth-1": "booth",
    "booth-2": "booth",
    "ledger-1": "ledger",
    "ledger-2": "ledger",
}


def run_until_left(fleet: mesh_fleet.MeshFleet) -> float:
    """Send load until the leaving is known, and return when it binds."""
    fleet.run_load(500.0, 50.0, *SERVICES)
    fleet.instances["booth-1"].is_leaving = True
    fleet.run_load(500.0, 50.0, *SERVICES)
    bound_from_ms = fleet.network.now_ms + DRAIN_MS
    fleet.run_load(DRAIN_MS, 50.0, *SERVICES)
    return bound_from_ms


def arrivals_since(fleet: mesh_fleet.MeshFleet, since_ms: float) -> list[str]:
    arrivals = fleet.instances["booth-1"].arrivals
    return [request for at_ms, request in arrivals if at_ms >= since_ms]


def test_an_instance_that_says_it_leaves_gets_nothing_while_the_store_is_away() -> None:
    fleet = mesh_fleet.MeshFleet(SERVICES)
    for source in fleet.sources.values():
        source.is_reachable = False
    bound_from_ms = run_until_left(fleet)
    fleet.run_load(1_000.0, 50.0, *SERVICES)
    assert arrivals_since(fleet, bound_from_ms) == []
    assert set(fleet.count_statuses("get")) == {200}


def test_suspects_that_wait_reach_no_instance_that_has_begun_to_leave() -> None:
    """Guards against trials that start long after their instance began to leave.

    Requests that ran beside a crash are sent again by their clients, and run one at a
    time, in 500 ms each.
    """
    services = {f"booth-{zone}": "booth" for zone in range(1, 5)}
    fleet = mesh_fleet.MeshFleet(services, work_ms=500.0)
    fleet.publish("op/config", mesh_fleet.make_configuration(16, timeout="6000ms"))
    for number in range(40):
        fleet.send("booth-1", time_left_ms=6_000, name=str(number))
    fleet.network.run_for(100.0)
    fleet.crash_instance("booth-1")
    fleet.network.run_for(100.0)
    failed = [sent for sent in fleet.sent if sent.reply is not None]
    for sent in failed:
        fleet.send("booth-1", time_left_ms=6_000, name=sent.name)
    fleet.network.run_for(300.0)
    waiting = {
        name: len(node.parts.containment.queue.waiting)
        for name, node in fleet.nodes.items()
    }
    leaving = max(waiting, key=waiting.__getitem__)
    assert waiting[leaving] > 5
    fleet.publish_instance(leaving, state="draining", sequence=9)
    bound_from_ms = fleet.network.now_ms + DRAIN_MS
    fleet.network.run_for(6_000.0)
    arrivals = fleet.instances[leaving].arrivals
    assert [request for at_ms, request in arrivals if at_ms > bound_from_ms] == []


def test_an_entry_that_returns_does_not_revive_an_instance_that_leaves() -> None:
    """Guards against use after the store has removed and listed the entry again."""
    fleet = mesh_fleet.MeshFleet(SERVICES)
    bound_from_ms = run_until_left(fleet)
    fleet.network.run_for(5_000.0)
    fleet.publish("servers/booth-1", None)
    fleet.network.run_for(1_000.0)
    fleet.publish_instance("booth-1", sequence=9)
    fleet.run_load(1_000.0, 50.0, *SERVICES)
    assert arrivals_since(fleet, bound_from_ms) == []


def test_a_new_lifetime_of_an_instance_that_left_gets_requests() -> None:
    fleet = mesh_fleet.MeshFleet(SERVICES)
    run_until_left(fleet)
    fleet.instances["booth-1"].is_leaving = False
    started_ms = fleet.network.now_ms
    fleet.publish_instance("booth-1", born=1_700_000_009_000, sequence=1)
    fleet.run_load(2_000.0, 50.0, *SERVICES)
    assert arrivals_since(fleet, started_ms)
