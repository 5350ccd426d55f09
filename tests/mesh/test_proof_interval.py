"""Guards against quotas without young knowledge, and reads that nothing needs."""

import json
from typing import Any

import attrs
import pytest

from jujubetiller import published, routes, settings, teams
from jujubetiller.mesh import _proof_interval
from standins.fleet import mesh_fleet
from tests.mesh import test_ages

STORE = settings.StoreSettings(settings.Address("127.0.0.9", 80))
QUIET = teams.Team("quiet", frozenset())
RATED = teams.Team("rated", frozenset(), rate_per_s=2.0)


@pytest.mark.parametrize(
    ("set_ms", "held", "expected_ms"),
    [
        (None, None, None),
        (None, (), None),
        (None, (QUIET,), published.PROOF_INTERVAL_MS),
        (None, (QUIET, RATED), published.PROOF_INTERVAL_MS),
        (500, None, 500),
        (500, (RATED,), 500),
    ],
)
def test_proofs_are_due_for_a_setting_or_teams(
    set_ms: int | None, held: tuple[teams.Team, ...] | None, expected_ms: int | None
) -> None:
    configuration = None
    if held is not None:
        table = teams.TeamTable(held)
        configuration = routes.Configuration(1, (), frozenset(), team_table=table)
    store = attrs.evolve(STORE, proof_interval_ms=set_ms)
    found_ms = _proof_interval.find_interval_ms(store, configuration)
    assert found_ms == expected_ms


def test_ages_follow_the_configuration_in_force() -> None:
    ages = test_ages.AgeFleet("")
    document: dict[str, Any] = json.loads(mesh_fleet.make_configuration(20))
    document["tenants"] = [{"name": "rated", "rate_per_s": 2}]
    ages.fleet.publish("op/config", json.dumps(document).encode())
    ages.network.run_for(6_000.0)
    assert ages.find_highest_age_ms(10_000.0) < test_ages.CALM_MS
    ages.fleet.publish_configuration(24, "booth")
    ages.network.run_for(6_000.0)
    before = ages.fleet.store_site.calls
    ages.network.run_for(10_000.0)
    assert ages.fleet.store_site.calls - before <= 10 * test_ages.ZONES * 1.1
