"""The teams that send requests, and the API keys by which they are known."""

from jujubetiller.teams._digest_key import digest_key
from jujubetiller.teams._team import Team
from jujubetiller.teams._team_table import TeamTable

__all__ = ["Team", "TeamTable", "digest_key"]
