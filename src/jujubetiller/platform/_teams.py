"""The format of the teams in the operator's configuration."""

import math
import re
from typing import Any

from jujubetiller import schema, teams
from jujubetiller.platform import _fields, _key_digests

HIGHEST_TEAM_CLASS = 1_023
"""The class of a call, 1,024 * team class + route class, must stay below 2**24."""

KEYS = _key_digests.KEYS

_DIGEST = re.compile("[0-9a-f]{64}")
HIGHEST_RATE_PER_S = 1e9

MAX_NAME_LENGTH = 200
"""Names travel in headers and in messages between nodes."""


def translate_teams(rows: list[Any]) -> teams.TeamTable:
    """Return the table of the teams in ``rows``.

    Raises ``FieldError`` for a missing or invalid field, and if two teams have the same
    name or share a key.
    """
    translated = [_translate_team(row) for row in rows]
    try:
        return teams.TeamTable(translated)
    except ValueError as error:
        raise schema.FieldError("tenants", str(error)) from None


def _translate_team(row: Any) -> teams.Team:
    name = _fields.read_text(row, "name")
    is_plain = name.isascii() and name.isprintable() and name == name.strip()
    if not is_plain or len(name) > MAX_NAME_LENGTH:
        raise schema.FieldError(
            "tenants.name",
            f"allowed are printable ASCII texts of at most {MAX_NAME_LENGTH} "
            f"characters, got {name!r:.80}",
        )
    return teams.Team(
        name=name,
        key_digests=_read_digests(row),
        priority_class=_fields.read_integer(
            row, "priority", highest=HIGHEST_TEAM_CLASS, default=0
        ),
        rate_per_s=_read_rate(row, "rate_per_s"),
        burst=_read_rate(row, "burst"),
    )


def _read_digests(row: dict[str, Any]) -> frozenset[bytes]:
    """Return the digests of a team's keys, which may have taken the place of the keys.

    No message holds a key.
    """
    name = _key_digests.DIGESTS if row.get(KEYS) is None else KEYS
    values = row.get(name)
    if values is None:
        return frozenset()
    is_list = isinstance(values, list)
    if not is_list or not all(isinstance(value, str) and value for value in values):
        raise schema.FieldError(
            f"tenants.{name}", "allowed is a list of non-empty texts"
        )
    if name == KEYS:
        return frozenset(map(teams.digest_key, values))
    if not all(map(_DIGEST.fullmatch, values)):
        raise schema.FieldError(
            f"tenants.{name}",
            "allowed is a list of SHA-256 digests of 64 lower-case hexadecimal digits",
        )
    return frozenset(map(bytes.fromhex, values))


def _read_rate(row: dict[str, Any], name: str) -> float:
    value = row.get(name)
    if value is None:
        return 0.0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= HIGHEST_RATE_PER_S or math.isnan(value):
        raise schema.FieldError(
            f"tenants.{name}",
            f"allowed are numbers from 0 to {HIGHEST_RATE_PER_S:g}, got {value!r:.80}",
        )
    return float(value)
