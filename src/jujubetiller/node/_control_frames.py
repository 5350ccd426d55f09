"""Conversion between control messages and frames."""

from typing import Any

import msgpack

from jujubetiller import control, frames

_FACTS = "facts"
"""The topic of tickets and instance records."""


def make_frame(message: control.Message) -> frames.Digest | frames.Pull | frames.Push:
    """Return the frame that carries ``message``."""
    match message:
        case control.Digest():
            return frames.Digest(
                message.ticket_digest,
                message.membership_digest,
                message.platform_age_ms,
                message.ticket_number,
            )
        case control.Pull():
            index = (message.ticket_index, message.membership_index)
            return frames.Pull(_FACTS, msgpack.packb(index))
        case control.Push():
            facts = (message.tickets, message.records)
            return frames.Push(_FACTS, msgpack.packb(facts))


def read_frame(
    frame: frames.Digest | frames.Pull | frames.Push,
) -> control.Message | None:
    """Return the message in ``frame``, or ``None`` if it is malformed.

    Only the types of the containers are checked here; entries and records are
    validated one by one when they are merged.
    """
    if isinstance(frame, frames.Digest):
        return control.Digest(
            frame.ticket_digest,
            frame.membership_digest,
            frame.platform_age_ms,
            frame.ticket_number,
        )
    parts = _unpack_pair(frame.payload) if frame.topic == _FACTS else None
    if parts is None:
        return None
    if isinstance(frame, frames.Push):
        if all(isinstance(part, list) for part in parts):
            return control.Push(parts[0], parts[1])
        return None
    if all(part is None or _is_index(part) for part in parts):
        return control.Pull(parts[0], parts[1])
    return None


def _unpack_pair(payload: bytes) -> list[Any] | None:
    try:
        parts = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException):
        return None
    return parts if isinstance(parts, list) and len(parts) == 2 else None


def _is_index(part: Any) -> bool:
    return isinstance(part, dict) and all(
        isinstance(name, str) and isinstance(value, list)
        for name, value in part.items()
    )
