"""The format of the entries of instances in the store."""

import re
from typing import Any

from jujubetiller import published, schema
from jujubetiller.platform import _fields

PREFIX = "servers/"

HIGHEST_CAPACITY = 1_000_000

LONGEST_SLOW_START_MS = 3_600_000.0

MAX_START_AHEAD_MS = 86_400_000.0
"""How far the clock of an instance may be ahead of the node's."""

_NAME = re.compile("[!-~]{1,200}")
"""Names are sent in headers and in frames."""

_IS_DRAINING = {"ready": False, "draining": True}


def translate_instance(
    name: str, entry: Any, now_unix_ms: float
) -> published.PublishedInstance:
    """Return the instance that ``entry`` describes.

    A start that is far ahead of ``now_unix_ms`` counts as not stated, since no later
    report and no later instance at the address could replace it.

    Raises ``FieldError`` for an entry with a missing or invalid field.
    """
    if _NAME.fullmatch(name) is None:
        raise schema.FieldError("name", f"allowed are visible ASCII, got {name!r:.80}")
    state = _fields.read_text(entry, "state")
    if state not in _IS_DRAINING:
        allowed = ", ".join(_IS_DRAINING)
        raise schema.FieldError("state", f"allowed are {allowed}, got {state!r}")
    return published.PublishedInstance(
        instance=name,
        service=_fields.read_text(entry, "service"),
        zone=_fields.read_text(entry, "zone"),
        address=_fields.read_address(entry, "address"),
        slots=_fields.read_integer(entry, "capacity", 1, highest=HIGHEST_CAPACITY),
        draining=_IS_DRAINING[state],
        slow_start_ms=_fields.read_duration_ms(
            entry, "warmup_left", 0.0, LONGEST_SLOW_START_MS
        ),
        started_unix_ms=_read_start_ms(entry, now_unix_ms),
        sequence=_fields.read_integer(entry, "sequence", default=0),
    )


def _read_start_ms(entry: Any, now_unix_ms: float) -> int:
    """Return when the instance started, in Unix milliseconds; 0 if that is unknown."""
    started_ms = _fields.read_integer(entry, "born", default=0)
    return started_ms if started_ms <= now_unix_ms + MAX_START_AHEAD_MS else 0
