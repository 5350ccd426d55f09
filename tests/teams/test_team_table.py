"""Guards against keys that name the wrong team, and against shared keys."""

import pytest

from jujubetiller import teams


def make_team(name: str, *keys: str) -> teams.Team:
    return teams.Team(name, frozenset(map(teams.digest_key, keys)))


def test_each_key_names_its_team_and_no_other_text_does() -> None:
    table = teams.TeamTable([make_team("a", "k1", "k2"), make_team("b", "k3")])
    found = {
        key: table.find(key) for key in ("k1", "k2", "k3", "", "k", "K1", "\udc80")
    }
    names = {key: team and team.name for key, team in found.items()}
    assert names == {
        "k1": "a",
        "k2": "a",
        "k3": "b",
        "": None,
        "k": None,
        "K1": None,
        "\udc80": None,
    }


@pytest.mark.parametrize(
    "members",
    [
        [make_team("a", "k1"), make_team("b", "k1")],
        [make_team("a", "k1"), make_team("a", "k2")],
    ],
)
def test_a_shared_key_and_a_repeated_name_are_rejected(
    members: list[teams.Team],
) -> None:
    with pytest.raises(ValueError, match="two teams|share a key"):
        teams.TeamTable(members)
