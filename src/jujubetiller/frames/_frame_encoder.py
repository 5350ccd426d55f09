"""Encoding of frames."""

import struct

import msgpack

from jujubetiller import codes
from jujubetiller.frames import _frame

_pack_length = struct.Struct(">I").pack

_TOO_LARGE = "allowed are frames of at most {} bytes, got {}"


class FrameEncoder:
    """Encodes frames and rejects those that a decoder would reject.

    Without the check, one field out of bounds would make the peer close a stream
    that other calls share.
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self.max_frame_bytes = max_frame_bytes
        self._packer = msgpack.Packer(autoreset=True)

    def encode(self, frame: _frame.Frame) -> bytes | codes.Problem:
        """Return ``frame`` encoded with its length prefix, or its problem."""
        fields = frame.to_fields()
        problem = frame.check_fields(fields)
        if problem is not None:
            return problem
        try:
            payload: bytes = self._packer.pack([frame.TYPE, *fields])
        except UnicodeEncodeError:
            return codes.Problem(
                codes.ResultCode.BAD_FRAME,
                frame.NAME,
                "allowed is text that can be written as UTF-8",
            )
        if len(payload) > self.max_frame_bytes:
            message = _TOO_LARGE.format(self.max_frame_bytes, len(payload))
            return codes.Problem(codes.ResultCode.BAD_FRAME, frame.NAME, message)
        return _pack_length(len(payload)) + payload
