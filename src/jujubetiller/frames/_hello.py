"""The HELLO frame."""

from typing import Any

import attrs

from jujubetiller import codes
from jujubetiller.frames import _frame, _rules, _versions


@attrs.define
class Hello(_frame.Frame):
    """Opens a stream and describes the sender; sent again when this changes."""

    TYPE = 1
    NAME = "hello"
    CONTROL = True
    FIELDS = (
        ("lowest_version", _rules.COUNT),
        ("highest_version", _rules.COUNT),
        ("instance", _rules.NAME),
        ("service", _rules.NAME),
        ("zone", _rules.NAME),
        ("host", _rules.NAME),
        ("peer_port", _rules.COUNT),
        ("incarnation", _rules.COUNT),
        ("boot_id", _rules.NAME),
        ("key_epoch", _rules.COUNT),
        ("draining", _rules.FLAG),
        ("state_digest", _rules.DIGEST),
        ("call_window_bytes", _rules.COUNT),
        ("max_frame_bytes", _rules.COUNT),
        ("max_body_bytes", _rules.COUNT),
        ("stream_id", _rules.NAME),
    )

    lowest_version: int
    highest_version: int
    instance: str
    service: str
    zone: str
    host: str
    peer_port: int
    incarnation: int
    boot_id: str
    key_epoch: int
    draining: bool
    state_digest: bytes
    call_window_bytes: int
    """Body bytes of one call that the sender of this frame accepts without credit."""

    max_frame_bytes: int
    max_body_bytes: int

    stream_id: str = ""
    """Names the stream among all that the sender has opened or accepted. Empty for a
    sender whose program does not know RECONCILE."""

    @classmethod
    def check_fields(cls, values: list[Any]) -> codes.Problem | None:
        """Return the problem of the versions, or of the first field that has one.

        The versions are compared first, because another version may have other
        fields. Fields appended by a later version are removed from ``values``, and a
        missing ``stream_id`` is added.
        """
        if all(map(_rules.COUNT.allows, values[:2])) and len(values) >= 2:
            lowest, highest = values[:2]
            if lowest > _versions.HIGHEST_VERSION or highest < _versions.LOWEST_VERSION:
                return codes.Problem(
                    codes.ResultCode.BAD_VERSION,
                    "hello.lowest_version",
                    f"allowed are versions {_versions.LOWEST_VERSION} to "
                    f"{_versions.HIGHEST_VERSION}, got {lowest} to {highest}",
                )
        del values[cls.TABLE.count :]
        if len(values) == cls.TABLE.count - 1:
            values.append("")
        return super().check_fields(values)
