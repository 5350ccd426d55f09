"""Decoding of frames."""

import struct
from typing import Any

import msgpack

from jujubetiller import codes
from jujubetiller.frames import _frame, _frame_table

_unpack_length = struct.Struct(">I").unpack_from
_LENGTH_BYTES = 4


class FrameDecoder:
    """Decodes received bytes into frames and checks every field.

    After a problem it decodes nothing more, because the position at which the next
    frame starts is no longer certain.
    """

    def __init__(
        self, max_frame_bytes: int, max_first_bytes: int | None = None
    ) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.max_first_bytes = max_first_bytes or max_frame_bytes
        """Limit on the first frame, as long as the sender is unknown."""

        self.frame_count = 0

        self.control_bytes = 0
        """Bytes of the control frames decoded so far, including the length prefixes."""

        self.problem: codes.Problem | None = None
        self._incomplete = b""

    def feed(self, data: bytes) -> tuple[list[_frame.Frame], codes.Problem | None]:
        """Return the frames that ``data`` completes, and the problem that follows."""
        decoded: list[_frame.Frame] = []
        if self.problem is not None:
            return decoded, self.problem
        if self._incomplete:
            data = self._incomplete + data
        start, end = 0, len(data)
        while end - start >= _LENGTH_BYTES:
            (length,) = _unpack_length(data, start)
            highest = self.max_frame_bytes if self.frame_count else self.max_first_bytes
            if length > highest:
                self.problem = codes.Problem(
                    codes.ResultCode.BAD_FRAME,
                    "length",
                    f"allowed are at most {highest} bytes, got {length}",
                )
                break
            frame_end = start + _LENGTH_BYTES + length
            if frame_end > end:
                break
            frame = decode_payload(data[start + _LENGTH_BYTES : frame_end])
            if isinstance(frame, codes.Problem):
                self.problem = frame
                break
            self.frame_count += 1
            if frame.CONTROL:
                self.control_bytes += frame_end - start
            decoded.append(frame)
            start = frame_end
        self._incomplete = data[start:] if self.problem is None else b""
        return decoded, self.problem


def decode_payload(payload: bytes) -> _frame.Frame | codes.Problem:
    """Return the frame in ``payload``, or its problem."""
    try:
        values: Any = msgpack.unpackb(payload)
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        return codes.Problem(
            codes.ResultCode.BAD_FRAME,
            "frame",
            f"allowed is one msgpack array, got {type(error).__name__}",
        )
    if type(values) is not list or not values or type(values[0]) is not int:
        return codes.Problem(
            codes.ResultCode.BAD_FRAME,
            "frame",
            "allowed is an array that starts with a frame type",
        )
    frame_class = _frame_table.FRAME_CLASSES.get(values[0])
    if frame_class is None:
        return codes.Problem(
            codes.ResultCode.BAD_FRAME,
            "type",
            f"allowed are {', '.join(map(str, _frame_table.FRAME_CLASSES))}, "
            f"got {values[0]}",
        )
    del values[0]
    return frame_class.check_fields(values) or frame_class.from_fields(values)
