"""Guards against quotas that refuse teams which keep to their limits."""

import pytest

from bench import quota_fleet
from jujubetiller import quotas

ZONES = 4
NODES = 69
TEAMS = 76
LOAD = 0.8
"""Part of its rate that each team sends."""


def make_fleet(seed: int) -> quota_fleet.Fleet:
    """Return a fleet that has just started: team 0 has one client on one node."""
    fleet = quota_fleet.Fleet(seed, max_skew=0.01)
    rates = [2.5, 5.0, *(4.0 + 0.4 * index for index in range(TEAMS - 3)), 120.0]
    fleet.publish({f"team-{i}": (rate, rate) for i, rate in enumerate(rates)})
    for index in range(NODES):
        host = f"10.0.{index % ZONES}.{index}"
        fleet.listed[host] = f"zone-{index % ZONES}"
    for host, zone in fleet.listed.items():
        fleet.start(host, zone)
    return fleet


def send(
    fleet: quota_fleet.Fleet, duration_ms: float, is_regular: bool
) -> tuple[int, int]:
    """Send from all teams, the small ones through one or two nodes.

    The result is the numbers of requests that were admitted and refused.
    """
    hosts = list(fleet.listed)
    end_ms = fleet.now_ms + duration_ms
    for index, (team, (rate, _)) in enumerate(fleet.teams.items()):
        used = [hosts[7]] if index == 0 else hosts[11:13] if index == 1 else hosts
        fleet.send_steadily(team, used, LOAD * rate, end_ms, is_regular)
    fleet.run_for(duration_ms)
    return sum(map(len, fleet.admitted.values())), sum(fleet.refused.values())


@pytest.mark.parametrize("seed", [1, 2])
def test_teams_below_their_limits_are_not_refused(seed: int) -> None:
    """Requests at random times, with buckets that have had time to fill."""
    fleet = make_fleet(seed)
    fleet.run_for(25_000.0)
    admitted, refused = send(fleet, 20_000.0, is_regular=False)
    assert refused <= 0.001 * admitted, fleet.refused
    single, wanted = "team-0", LOAD * 2.5 * 20.0
    assert not fleet.refused[single]
    assert len(fleet.admitted[single]) > 0.5 * wanted
    assert not fleet.find_excess()


@pytest.mark.parametrize("seed", [3, 4])
def test_steady_teams_are_not_refused_after_a_total_restart(seed: int) -> None:
    """Once the wait for the shares has passed; buckets have had no time to fill."""
    fleet = make_fleet(seed)
    fleet.run_for(quotas.LISTED_MS + 2_000.0)
    admitted, refused = send(fleet, 20_000.0, is_regular=True)
    assert refused <= 0.001 * admitted, fleet.refused
    assert not fleet.refused["team-0"]
    assert not fleet.find_excess()
