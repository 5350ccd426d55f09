"""Guards against changes that are lost or reverted when the store is restored."""

from standins.fleet import store_fleet

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
