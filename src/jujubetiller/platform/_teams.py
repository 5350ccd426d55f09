"""The format of the teams in the operator's configuration."""

import math
from typing import Any

from jujubetiller import schema, teams
from jujubetiller.platform import _fields

HIGHEST_PRIORITY_CLASS = 1_023
HIGHEST_RATE_PER_S = 1e9


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
    if not (name.isascii() and name.isprintable() and name == name.strip()):
        raise schema.FieldError(
            "tenants.name", f"allowed are printable ASCII texts, got {name!r:.80}"
        )
    keys = _fields.read(row, "api_keys", list, [])
    if not all(isinstance(key, str) and key for key in keys):
        raise schema.FieldError("tenants.api_keys", "allowed are non-empty texts")
    return teams.Team(
        name=name,
        key_digests=frozenset(map(teams.digest_key, keys)),
        priority_class=_fields.read_integer(
            row, "priority", highest=HIGHEST_PRIORITY_CLASS, default=0
        ),
        rate_per_s=_read_rate(row, "rate_per_s"),
        burst=_read_rate(row, "burst"),
    )


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
