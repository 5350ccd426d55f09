"""Guards against teams decoded wrongly, and configurations with invalid teams."""

from typing import Any

import pytest
import result

from jujubetiller import platform, published, teams
from standins.mesh_site import documents

DECODER = platform.PlatformDecoder()

TEAM = {
    "name": "kitchen",
    "api_keys": ["key-1", "key-2"],
    "priority": 1,
    "rate_per_s": 96,
    "burst": 12.5,
}


def decode(*rows: Any) -> Any:
    value = documents.encode(documents.CONFIGURATION, tenants=list(rows))
    item = published.PublishedItem("op/config", published.Revision(0, 7), value)
    return DECODER.decode_configuration(item)


def test_a_team_is_decoded_with_digests_in_place_of_its_keys() -> None:
    configuration = decode(TEAM, {"name": "other"}).unwrap()
    digests = frozenset(map(teams.digest_key, ("key-1", "key-2")))
    assert configuration.team_table.by_name == {
        "kitchen": teams.Team("kitchen", digests, 1, 96.0, 12.5),
        "other": teams.Team("other", frozenset()),
    }
    assert "key-1" not in repr(configuration)


@pytest.mark.parametrize(
    "row",
    [
        {"name": ""},
        {"name": 5},
        {"name": "two\nlines"},
        {"api_keys": "key-1"},
        {"api_keys": [""]},
        {"api_keys": [5]},
        {"priority": -1},
        {"priority": True},
        {"rate_per_s": -1},
        {"rate_per_s": "96"},
        {"rate_per_s": True},
        {"burst": -0.5},
        {"burst": 1e300},
    ],
)
def test_an_invalid_field_of_a_team_rejects_the_configuration(
    row: dict[str, Any],
) -> None:
    assert isinstance(decode({**TEAM, **row}), result.Err)


def test_a_key_of_two_teams_rejects_the_configuration() -> None:
    other = {"name": "other", "api_keys": ["key-2"]}
    problem = decode(TEAM, other).unwrap_err()
    assert problem.field == "op/config.tenants"
    assert "key-2" not in str(problem)
