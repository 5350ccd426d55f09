"""Guards against tickets that are lost when the platform is restored from a copy."""

from standins.fleet import local_fleet

IN_FORCE_MS = 4_000


def numbers(fleet: local_fleet.Fleet) -> set[int]:
    """Return the highest ticket number that each node applies."""
    return {node.parts.tickets.number for node in fleet.nodes.values()}


def test_a_ticket_published_after_a_restore_is_in_force_in_time() -> None:
    fleet = local_fleet.Fleet()
    fleet.wait_ready()
    copied_version = fleet.store.version
    for number in (2, 3, 4):
        fleet.store.publish_ticket(local_fleet.make_ticket(number))
        fleet.network.run_for(IN_FORCE_MS)
    assert numbers(fleet) == {4}
    fleet.store.restore(copied_version)
    fleet.network.run_for(1_000)
    assert numbers(fleet) == {4}
    fleet.store.publish_ticket(local_fleet.make_ticket(5, slots=7))
    fleet.network.run_for(IN_FORCE_MS)
    assert numbers(fleet) == {5}


def test_an_instance_that_is_listed_after_a_restore_is_known_in_time() -> None:
    fleet = local_fleet.Fleet()
    fleet.wait_ready()
    copied_version = fleet.store.version
    for _ in range(4):
        fleet.publish_instances()
    fleet.network.run_for(IN_FORCE_MS)
    fleet.store.restore(copied_version)
    fleet.network.run_for(1_000)
    fleet.states["booth-1"] = "leaving"
    fleet.publish_instances()
    fleet.network.run_for(IN_FORCE_MS)
    for node in fleet.nodes.values():
        assert node.exchange is not None
        records = {each.instance: each for each in node.exchange.table.instances()}
        assert records["booth-1"].listed_leaving
