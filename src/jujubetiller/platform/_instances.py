"""The format of the entries of instances in the store."""

from typing import Any

from jujubetiller import published, schema
from jujubetiller.platform import _fields

PREFIX = "servers/"

_IS_DRAINING = {"ready": False, "draining": True}


def translate_instance(name: str, entry: Any) -> published.PublishedInstance:
    """Return the instance that ``entry`` describes.

    Raises ``FieldError`` for an entry with a missing or invalid field.
    """
    state = _fields.read_text(entry, "state")
    if state not in _IS_DRAINING:
        allowed = ", ".join(_IS_DRAINING)
        raise schema.FieldError("state", f"allowed are {allowed}, got {state!r}")
    return published.PublishedInstance(
        instance=name,
        service=_fields.read_text(entry, "service"),
        zone=_fields.read_text(entry, "zone"),
        address=_fields.read_address(entry, "address"),
        slots=_fields.read_integer(entry, "capacity", 1),
        draining=_IS_DRAINING[state],
        slow_start_ms=_fields.read_duration_ms(entry, "warmup_left", 0.0),
        started_unix_ms=_fields.read_integer(entry, "born", default=0),
        sequence=_fields.read_integer(entry, "sequence", default=0),
    )
