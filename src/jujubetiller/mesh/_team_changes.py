"""What a new configuration changes for teams, for its log line."""

from jujubetiller import teams

MAX_LOGGED_TEAMS = 8


def describe_teams(table: teams.TeamTable) -> dict[str, int]:
    """Return the numbers of teams and keys."""
    return {"teams": len(table), "keys": len(table.by_digest)}


def describe_key_changes(
    old: teams.TeamTable, new: teams.TeamTable
) -> dict[str, object]:
    """Return which teams' keys differ, and how many were added and removed.

    The result is empty if there is no difference.
    """
    names = {
        name
        for name in old.by_name.keys() | new.by_name.keys()
        if _find_digests(old, name) != _find_digests(new, name)
    }
    if not names:
        return {}
    return {
        "teams": sorted(names)[:MAX_LOGGED_TEAMS],
        "changed": len(names),
        "added": len(new.by_digest.keys() - old.by_digest.keys()),
        "removed": len(old.by_digest.keys() - new.by_digest.keys()),
    }


def _find_digests(table: teams.TeamTable, name: str) -> frozenset[bytes]:
    team = table.by_name.get(name)
    return frozenset() if team is None else team.key_digests
