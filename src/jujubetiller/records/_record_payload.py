"""The compact encoding of a record inside its signed text."""

from typing import Any

import attrs
import msgpack

from jujubetiller import codes
from jujubetiller.records import _call_record, _hop_record

FORMAT_VERSION = 1

# Times are stored as whole microseconds: 1 to 5 bytes in msgpack instead of 9 for a
# float.
MICROSECONDS_PER_MS = 1_000

_OUTCOMES = frozenset(outcome.value for outcome in codes.Outcome)


def _pack_fields(instance: Any) -> list[Any]:
    return [
        round(value * MICROSECONDS_PER_MS) if isinstance(value, float) else value
        for value in attrs.astuple(instance, recurse=False)
        if not isinstance(value, tuple)
    ]


def _unpack_fields(record_class: type, values: list[Any]) -> dict[str, Any]:
    """Return the fields of ``record_class`` by name.

    Raises ``ValueError`` if one is invalid.
    """
    fields = [field for field in attrs.fields(record_class) if field.name != "hops"]
    if len(fields) != len(values):
        raise ValueError(f"{record_class.__name__} has {len(fields)} fields")
    unpacked: dict[str, Any] = {}
    for field, value in zip(fields, values, strict=True):
        stored = int if field.type is float else field.type
        if type(value) is not stored:
            raise ValueError(f"{field.name} has the wrong type")
        unpacked[field.name] = (
            value / MICROSECONDS_PER_MS if field.type is float else value
        )
    return unpacked


class RecordPayload:
    """Encodes records for itsdangerous in a form compact enough for a header."""

    def dumps(self, record: Any) -> bytes:
        """Return the bytes of a record; itsdangerous also tries an empty dict."""
        if not isinstance(record, _call_record.CallRecord):
            return bytes(msgpack.packb(record))
        hops = [_pack_fields(hop) for hop in record.hops]
        return bytes(msgpack.packb([FORMAT_VERSION, _pack_fields(record), hops]))

    def loads(self, payload: bytes) -> _call_record.CallRecord:
        """Return the record in ``payload``; raise ``ValueError`` if it is invalid."""
        version, fields, hops = msgpack.unpackb(payload)
        if version != FORMAT_VERSION:
            raise ValueError(f"format version {version!r} is not supported")
        unpacked = _unpack_fields(_call_record.CallRecord, fields)
        if unpacked["outcome"] not in _OUTCOMES:
            raise ValueError("outcome is not known")
        return _call_record.CallRecord(
            **unpacked,
            hops=tuple(
                _hop_record.HopRecord(**_unpack_fields(_hop_record.HopRecord, hop))
                for hop in hops
            ),
        )
