"""Guards against changes that are lost or reverted when the store is restored."""

import attrs
import pytest

from standins.fleet import store_fleet
from standins.mesh_site import documents

SERVICES = {
    "booth-1": "booth",
    "booth-2": "booth",
    "ledger-1": "ledger",
    "ledger-2": "ledger",
}
APPLY_MS = 2_000.0
"""A change of the configuration is in force this long after its acknowledgement."""


def all_at(version: int) -> dict[str, int]:
    return dict.fromkeys(SERVICES, version)


def start_fleet_at_version_20() -> tuple[store_fleet.StoreFleet, int]:
    """Return a fleet, and the revision of the copy that lacks its configuration."""
    fleet = store_fleet.StoreFleet(SERVICES)
    fleet.network.run_for(2_000.0)
    copied_revision = fleet.store.revision
    fleet.publish_configuration(16, "booth")
    fleet.publish_configuration(20, "ledger")
    fleet.network.run_for(APPLY_MS)
    assert fleet.versions() == all_at(20)
    return fleet, copied_revision


def test_a_version_published_after_a_restore_is_in_force_in_time() -> None:
    fleet, copied_revision = start_fleet_at_version_20()
    fleet.restore(copied_revision, down_ms=2_000.0)
    fleet.network.run_for(4_000.0)
    assert fleet.versions() == all_at(20)
    fleet.publish_configuration(24, "booth")
    fleet.network.run_for(APPLY_MS)
    assert fleet.versions() == all_at(24)


def test_a_node_that_starts_after_a_restore_takes_the_later_version_from_peers() -> (
    None
):
    fleet, copied_revision = start_fleet_at_version_20()
    fleet.restore(copied_revision, down_ms=500.0)
    fleet.network.run_for(1_000.0)
    fleet.kill_node("booth-1")
    node = fleet.start_node("booth-1")
    served: set[int] = set()

    def note_version() -> bool:
        if node.parts.is_ready():
            served.add(store_fleet.version_of(node))
        return False

    fleet.network.run_until(note_version, 3_000.0)
    assert served == {20}


def test_a_starting_node_takes_the_later_version_from_peers_of_the_older_history() -> (
    None
):
    """Guards against a restored configuration while only cut-off nodes know better."""
    fleet, copied_revision = start_fleet_at_version_20()
    fleet.kill_node("booth-1")
    for name in ("booth-2", "ledger-1", "ledger-2"):
        fleet.cut_store(fleet.places[name].zone)
    fleet.restore(copied_revision)
    fleet.places["booth-1"] = attrs.evolve(fleet.places["booth-1"], zone="3")
    node = fleet.start_node("booth-1")
    fleet.network.run_until(node.parts.is_ready, 3_000.0)
    assert node.parts.is_ready()
    assert store_fleet.version_of(node) == 20
    fleet.network.run_for(2_000.0)
    assert fleet.versions() == all_at(20)
    fleet.publish_configuration(24, "booth")
    fleet.network.run_for(APPLY_MS)
    assert fleet.versions() == all_at(24)


def test_a_restore_while_watches_wait_is_noticed_by_the_era_alone() -> None:
    """Guards against a revision that the new history has passed, which gets no 410."""
    fleet, copied_revision = start_fleet_at_version_20()
    fleet.restore(copied_revision)
    fleet.publish_configuration(24, "booth")
    for number in range(6):
        fleet.publish(f"servers/other-{number}", b"{}")
    fleet.network.run_for(6_000.0)
    assert fleet.versions() == all_at(24)


def test_an_instance_that_left_in_the_lost_seconds_gets_nothing() -> None:
    fleet = store_fleet.StoreFleet(SERVICES)
    fleet.network.run_for(3_000.0)
    copied_revision = fleet.store.revision
    fleet.publish_instance("booth-1", sequence=9, state="draining")
    fleet.network.run_for(1_000.0)
    fleet.publish("servers/booth-1", None)
    fleet.network.run_for(1_000.0)
    fleet.restore(copied_revision, down_ms=1_000.0)
    fleet.network.run_for(1_000.0)
    fleet.kill_node("ledger-2")
    fleet.start_node("ledger-2")
    fleet.network.run_for(1_500.0)
    before = len(fleet.instances["booth-1"].arrivals)
    fleet.run_load(2_000.0, 50.0, "ledger-1", "ledger-2")
    assert len(fleet.instances["booth-1"].arrivals) == before
    assert fleet.count_statuses("get")[200] >= 80


def test_an_instance_that_lives_is_used_although_the_restored_store_lacks_it() -> None:
    fleet = store_fleet.StoreFleet(SERVICES)
    fleet.network.run_for(3_000.0)
    copied_revision = fleet.store.revision
    fleet.publish("servers/booth-1", None)
    fleet.publish_instance("booth-1", sequence=9)
    fleet.network.run_for(1_000.0)
    fleet.restore(copied_revision - 1)
    fleet.network.run_for(500.0)
    fleet.publish_instance("booth-1", sequence=9)
    fleet.network.run_for(10_000.0)
    before = len(fleet.instances["booth-1"].arrivals)
    fleet.run_load(2_000.0, 50.0, "ledger-1", "ledger-2")
    assert len(fleet.instances["booth-1"].arrivals) > before + 20


def test_an_instance_that_reports_nothing_new_is_used_again_after_a_while() -> None:
    """Guards against a living instance whose entry expired just before the restore."""
    fleet = store_fleet.StoreFleet(SERVICES)
    fleet.network.run_for(3_000.0)
    copied_revision = fleet.store.revision
    fleet.publish("servers/booth-1", None)
    fleet.network.run_for(1_000.0)
    fleet.restore(copied_revision, down_ms=500.0)
    fleet.network.run_for(2_000.0)
    before = len(fleet.instances["booth-1"].arrivals)
    fleet.run_load(1_000.0, 50.0, "ledger-1", "ledger-2")
    assert len(fleet.instances["booth-1"].arrivals) == before
    fleet.network.run_for(8_000.0)
    fleet.run_load(2_000.0, 50.0, "ledger-1", "ledger-2")
    assert len(fleet.instances["booth-1"].arrivals) > before + 20


def test_two_restores_leave_the_highest_version_in_force() -> None:
    fleet, copied_revision = start_fleet_at_version_20()
    fleet.cut_store(fleet.places["ledger-2"].zone)
    fleet.restore(copied_revision, down_ms=500.0)
    fleet.network.run_for(1_000.0)
    fleet.publish_configuration(24, "booth")
    fleet.network.run_for(APPLY_MS)
    fleet.restore(copied_revision, down_ms=500.0)
    fleet.network.run_for(2_000.0)
    assert fleet.versions() == all_at(24)
    fleet.network.cuts.clear()
    fleet.publish_configuration(28, "ledger")
    fleet.network.run_for(APPLY_MS)
    assert fleet.versions() == all_at(28)


@pytest.mark.parametrize("port", ["9" * 5_000, "99999", "0x50", ""])
@pytest.mark.parametrize("lost_again", [False, True])
def test_an_unreadable_entry_does_not_keep_a_restored_configuration_out_of_force(
    port: str, lost_again: bool
) -> None:
    fleet, copied_revision = start_fleet_at_version_20()
    if not lost_again:
        copied_revision = fleet.store.revision
    entry = {**documents.INSTANCE, "address": f"127.0.9.9:{port}"}
    fleet.publish("servers/other", documents.encode(entry))
    fleet.network.run_for(1_000.0)
    fleet.restore(copied_revision, down_ms=500.0)
    fleet.publish("servers/other", documents.encode(entry, zone="4"))
    fleet.network.run_for(1_000.0)
    fleet.publish_configuration(24, "booth")
    fleet.network.run_for(APPLY_MS)
    assert fleet.versions() == all_at(24)


def test_what_was_ignored_after_a_restore_is_counted_in_the_metrics() -> None:
    fleet, copied_revision = start_fleet_at_version_20()
    fleet.restore(copied_revision)
    fleet.publish_configuration(24, "booth")
    fleet.network.run_for(APPLY_MS)
    node = fleet.nodes["booth-1"]
    node.state.ignored, node.state.retained.refused = 3, 2
    text = node.parts.metrics.render().decode()
    for line in (
        'published_ignored_total{event="older"} 3.0',
        'published_ignored_total{event="retained_over_bound"} 2.0',
        'published_ignored_total{event="epoch_malformed"} 0.0',
        'published_ignored_total{event="answer_of_older_history"} 0.0',
    ):
        assert line in text
