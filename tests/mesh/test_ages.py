"""Guards against knowledge of API keys that ages although a path to the store works."""

import math
from collections.abc import Callable

import pytest

from standins.fleet import store_fleet
from tests.mesh import test_store_readers

ZONES = 4
NODES = 20

BOUNDS = 'strict_revoke = true\nrevoke = "5s"\nconfig_apply = "2.5s"\n'

CALM_MS = 1_750.0
"""With a margin of 250 ms, a cut of 3 s that begins at this age refuses nobody."""

REVOCATION_MS = 4_750.0
"""Requests with keys are refused from this age on."""

CUT_MS = 3_000.0
STEP_MS = 50.0


class AgeFleet:
    """A fleet whose nodes' ages are watched."""

    def __init__(self, bounds: str = BOUNDS) -> None:
        names = {f"booth{n}-{n % ZONES + 1}": "booth" for n in range(NODES)}
        self.fleet = store_fleet.StoreFleet(names, bounds=bounds)
        self.network = self.fleet.network
        self.network.run_for(4_000.0)

    def find_highest_age_ms(self, duration_ms: float) -> float:
        """Run the fleet; return the highest age of a node that is up."""
        highest_ms = 0.0
        for _ in range(int(duration_ms / STEP_MS)):
            self.network.run_for(STEP_MS)
            highest_ms = max(highest_ms, *self.find_ages().values())
        return highest_ms

    def find_ages(self) -> dict[str, float]:
        """Return the ages of the nodes that are up, in milliseconds."""
        return {
            name: node.parts.state_age.age_ms()
            for name, node in self.fleet.nodes.items()
            if not self.network.processes[name].is_dead
            and not self.network.processes[name].is_frozen
        }

    def find_primary(self, zone: str) -> str:
        return test_store_readers.find_primary(self.fleet, zone)

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from the store and from all other zones."""
        for other in (*"1234", store_fleet.STORE_ZONE):
            if other != zone:
                self.network.cut(zone, other)
                self.network.cut(other, zone)


@pytest.fixture
def ages() -> AgeFleet:
    return AgeFleet()


def test_ages_stay_low_in_calm_at_a_low_number_of_calls(ages: AgeFleet) -> None:
    before = ages.fleet.store_site.calls
    assert ages.find_highest_age_ms(20_000.0) < CALM_MS
    # The primary reader of each zone, and the watches of the second ones.
    assert ages.fleet.store_site.calls - before <= 20 * ZONES * (1.4 + 0.3)


def test_ages_stay_low_while_the_configuration_changes(ages: AgeFleet) -> None:
    """Guards against pauses after changes that add to the age."""
    before = ages.fleet.store_site.calls
    for version in range(20, 40):
        ages.fleet.publish_configuration(version, "booth")
        assert ages.find_highest_age_ms(700.0 + 13.0 * version % 400.0) < CALM_MS
    seconds = 20 * 0.9
    assert ages.fleet.store_site.calls - before <= seconds * ZONES * 5.0


def test_a_fleet_that_does_not_ask_for_proofs_reads_as_rarely_as_before() -> None:
    ages = AgeFleet("")
    before = ages.fleet.store_site.calls
    assert ages.find_highest_age_ms(10_000.0) < math.inf
    assert ages.fleet.store_site.calls - before <= 10 * ZONES * 1.1


def lose_primary(ages: AgeFleet) -> None:
    ages.network.vanish(ages.network.processes[ages.find_primary("1")])


def kill_readers(ages: AgeFleet) -> None:
    for name in test_store_readers.find_readers(ages.fleet, "1"):
        ages.fleet.kill_node(name)


def lose_readers(ages: AgeFleet) -> None:
    for name in test_store_readers.find_readers(ages.fleet, "1"):
        ages.network.vanish(ages.network.processes[name])


def freeze_primary(ages: AgeFleet) -> None:
    ages.network.processes[ages.find_primary("1")].is_frozen = True


def cut_store(ages: AgeFleet) -> None:
    ages.fleet.cut_store("1")


def silence_store(ages: AgeFleet) -> None:
    ages.fleet.silence_store()


def cut_zones(ages: AgeFleet) -> None:
    for zone in "234":
        ages.network.cut("1", zone)
        ages.network.cut(zone, "1")


@pytest.mark.parametrize(
    "fault",
    [
        lose_primary,
        kill_readers,
        lose_readers,
        freeze_primary,
        cut_store,
        silence_store,
        cut_zones,
    ],
)
@pytest.mark.parametrize("since_ms", [0.0, 400.0])
def test_keys_stay_current_after_a_fault_that_leaves_a_path_to_the_store(
    ages: AgeFleet, fault: Callable[[AgeFleet], None], since_ms: float
) -> None:
    ages.network.run_for(since_ms)
    fault(ages)
    assert ages.find_highest_age_ms(10_000.0) < REVOCATION_MS
    assert ages.find_highest_age_ms(5_000.0) < REVOCATION_MS - 1_000.0


@pytest.mark.parametrize("since_ms", [0.0, 300.0, 600.0])
@pytest.mark.parametrize("is_down", [False, True])
def test_a_short_cut_from_everything_makes_no_keys_old(
    ages: AgeFleet, since_ms: float, is_down: bool
) -> None:
    ages.network.run_for(since_ms)
    if is_down:
        ages.fleet.store_site.down = True
        ages.fleet.store_site.cut_watches()
    else:
        ages.cut_zone("1")
    highest_ms = ages.find_highest_age_ms(CUT_MS - STEP_MS)
    ages.network.cuts.clear()
    ages.fleet.store_site.down = False
    highest_ms = max(highest_ms, ages.find_highest_age_ms(5_000.0))
    assert highest_ms < REVOCATION_MS
    assert ages.find_highest_age_ms(5_000.0) < CALM_MS


def test_a_node_that_wakes_knows_that_its_knowledge_is_old(ages: AgeFleet) -> None:
    name = ages.find_primary("2")
    process = ages.network.processes[name]
    process.is_frozen = True
    ages.network.run_for(20_000.0)
    assert ages.fleet.nodes[name].parts.state_age.age_ms() > 20_000.0
    ages.network.thaw(process)
    ages.network.run_for(2_000.0)
    assert ages.find_highest_age_ms(5_000.0) < CALM_MS


def test_ages_grow_while_no_node_reaches_the_store(ages: AgeFleet) -> None:
    """Guards against nodes that renew each other's knowledge without a read."""
    ages.fleet.store_site.down = True
    ages.fleet.store_site.cut_watches()
    ages.network.run_for(8_000.0)
    assert min(ages.find_ages().values()) >= 8_000.0 - STEP_MS


def test_a_node_that_starts_while_the_store_is_down_has_no_current_keys(
    ages: AgeFleet,
) -> None:
    ages.fleet.store_site.down = True
    ages.fleet.store_site.cut_watches()
    ages.network.run_for(6_000.0)
    name = "booth7-4"
    ages.fleet.kill_node(name)
    node = ages.fleet.start_node(name)
    ages.network.run_for(3_000.0)
    assert node.parts.is_ready()
    assert node.parts.state_age.age_ms() >= 9_000.0 - STEP_MS


def test_a_restored_store_does_not_keep_ages_from_falling(ages: AgeFleet) -> None:
    ages.fleet.publish_configuration(20, "booth")
    ages.network.run_for(1_000.0)
    ages.fleet.restore(ages.fleet.store.revision - 1, down_ms=1_000.0)
    assert ages.find_highest_age_ms(10_000.0) < REVOCATION_MS
    assert ages.find_highest_age_ms(3_000.0) < CALM_MS
