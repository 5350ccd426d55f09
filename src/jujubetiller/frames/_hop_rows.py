"""A rule for fields that hold hop records."""

import operator
from typing import Any

import attrs

from jujubetiller import records
from jujubetiller.frames import _field_table, _real_number, _rule, _text, _whole_number

_NAME = _text.Text(256)
_COUNT = _whole_number.WholeNumber(0, 2**53)
_MILLISECONDS = _real_number.RealNumber(-1e12, 1e12)

HOP_FIELDS: tuple[tuple[str, _rule.Rule], ...] = (
    ("instance", _NAME),
    ("service", _NAME),
    ("rule", _NAME),
    ("code", _COUNT),
    ("wait_ms", _MILLISECONDS),
    ("run_ms", _MILLISECONDS),
    ("limit", _COUNT),
    ("in_flight", _COUNT),
    ("queue_length", _COUNT),
    ("deadline_left_ms", _MILLISECONDS),
    ("ticket_number", _COUNT),
    ("attempts", _COUNT),
    ("platform_age_ms", _MILLISECONDS),
    ("depth", _COUNT),
)
"""The fields of a hop record in the order of encoding."""

HOP_TABLE = _field_table.FieldTable("hops", HOP_FIELDS)

flatten_hop: Any = operator.attrgetter(*HOP_TABLE.names)
"""Returns the fields of a hop record as a tuple in the order of ``HOP_FIELDS``."""


_in_record_order: Any = operator.itemgetter(
    *(HOP_TABLE.names.index(field.name) for field in attrs.fields(records.HopRecord))
)


def build_hop(row: list[Any]) -> records.HopRecord:
    """Return the hop record built from a checked row."""
    return records.HopRecord(*_in_record_order(row))


class HopRows(_rule.Rule):
    """Allows an array of hop records, each encoded as a flat array."""

    def __init__(self, max_rows: int) -> None:
        self.max_rows = max_rows
        self.allowed = (
            f"an array of at most {max_rows} arrays of {', '.join(HOP_TABLE.names)}"
        )

    def allows(self, value: object) -> bool:
        """Return whether every row holds the fields of a hop record."""
        if type(value) is not list or len(value) > self.max_rows:
            return False
        # A row is a tuple when it is encoded, a list when it is decoded.
        return all(
            type(row) in (list, tuple) and HOP_TABLE.allows(row) for row in value
        )
