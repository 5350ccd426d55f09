"""Finds teams by their API keys."""

import hmac
from collections.abc import Iterable

from jujubetiller.teams import _digest_key, _team


class TeamTable:
    """The teams of one configuration by the digests of their keys.

    Raises ``ValueError`` if two teams have the same name or share a key.

    >>> table = TeamTable([_team.Team("a", frozenset([_digest_key.digest_key("k")]))])
    >>> table.find("k").name
    'a'
    >>> table.find("unknown") is None
    True
    """

    def __init__(self, teams: Iterable[_team.Team] = ()) -> None:
        self.by_name: dict[str, _team.Team] = {}
        self.by_digest: dict[bytes, _team.Team] = {}
        for team in teams:
            if team.name in self.by_name:
                raise ValueError(f"two teams have the name {team.name!r:.80}")
            self.by_name[team.name] = team
            for digest in team.key_digests:
                holder = self.by_digest.setdefault(digest, team)
                if holder is not team:
                    raise ValueError(
                        f"teams {holder.name!r:.80} and {team.name!r:.80} share a key"
                    )

        self.least_important_class = max(
            (team.priority_class for team in self.by_name.values()), default=0
        )
        """The priority class of the least important teams."""

    def __eq__(self, other: object) -> bool:
        return isinstance(other, TeamTable) and self.by_name == other.by_name

    def __len__(self) -> int:
        return len(self.by_name)

    def find(self, key: str) -> _team.Team | None:
        """Return the team that holds ``key``, or None.

        The lookup compares digests, whose bytes a sender of keys cannot choose, so its
        duration reveals nothing about the keys.
        """
        return self.find_digest(_digest_key.digest_key(key))

    def find_digest(self, digest: bytes) -> _team.Team | None:
        """Return the team that holds the key with ``digest``, or None."""
        team = self.by_digest.get(digest)
        if team is None:
            return None
        is_held = any(hmac.compare_digest(digest, each) for each in team.key_digests)
        return team if is_held else None
