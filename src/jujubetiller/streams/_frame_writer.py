"""Writing of frames to a transport, with back pressure."""

from typing import Any

from twisted.internet import interfaces
from zope.interface import implementer

from jujubetiller import codes, frames, transports
from jujubetiller.streams import _body_sender, _stream_statistics

_DATA_OVERHEAD_BYTES = 32  # type, call id and array heads of a DATA frame

BATCH_BYTES = 65_536
"""A batch is written at this size, so that the transport can pause the writer."""


@implementer(interfaces.IPushProducer)
class FrameWriter:
    """Writes frames to a transport, and parts of bodies while it is not paused.

    While the transport has paused the writer, frames are queued here. So the unsent
    bytes can be limited, and it is certain which frames never reached the transport.
    """

    def __init__(
        self,
        encoder: frames.FrameEncoder,
        statistics: _stream_statistics.StreamStatistics,
        max_unsent_bytes: int,
    ) -> None:
        self.encoder = encoder
        self.statistics = statistics
        self.max_unsent_bytes = max_unsent_bytes
        self.frame_limit_bytes = encoder.max_frame_bytes
        self.part_bytes = 0
        """The longest body that is sent inside its CALL or ANSWER frame."""

        self.bodies = _body_sender.BodySender(1, 1)
        self.transport: Any = None
        self.is_paused = False
        self.unsent_bytes = 0
        """Bytes of the queued frames."""

        self.accepted_count = 0
        """Number of frames written or queued so far."""

        self.written_count = 0
        """Number of frames passed to the transport so far."""

        self._batch: list[bytes] = []
        self._batch_bytes = 0
        self.in_batch = False
        """Whether frames are collected until ``end_batch``, in this reactor turn."""

        self._unsent: list[bytes] = []

    def open(self, transport: Any) -> None:
        """Attach the writer to ``transport``."""
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        self.transport = transport

    def set_peer_limits(
        self, frame_limit_bytes: int, data_frame_bytes: int, window_bytes: int
    ) -> None:
        """Apply the limits that the peer announced in HELLO."""
        self.frame_limit_bytes = frame_limit_bytes
        self.part_bytes = min(
            data_frame_bytes, frame_limit_bytes - _DATA_OVERHEAD_BYTES
        )
        self.bodies = _body_sender.BodySender(self.part_bytes, window_bytes)

    def is_full(self) -> bool:
        """Return whether the queue has reached ``max_unsent_bytes``."""
        return self.unsent_bytes >= self.max_unsent_bytes

    def send(self, frame: frames.Frame) -> codes.Problem | None:
        """Write or queue ``frame``, or return why it cannot be sent."""
        data = self.encoder.encode(frame)
        if isinstance(data, codes.Problem):
            return data
        size = len(data)
        if size - 4 > self.frame_limit_bytes:
            return codes.Problem(
                codes.ResultCode.BAD_FRAME,
                frame.NAME,
                f"allowed are frames of at most {self.frame_limit_bytes} bytes, "
                f"got {size - 4}",
            )
        statistics = self.statistics
        statistics.bytes_out += size
        statistics.frames_out += 1
        if frame.CONTROL:
            statistics.control_bytes_out += size
        self.accepted_count += 1
        if self.is_paused:
            self._unsent.append(data)
            self.unsent_bytes += size
        else:
            self.written_count += 1
            if self.in_batch:
                self._batch.append(data)
                self._batch_bytes += size
                if self._batch_bytes >= BATCH_BYTES:
                    self._write_batch()
            else:
                transports.send_now(self.transport, data)
        return None

    def count_unsent(self) -> int:
        """Return the bytes of frames and bodies that the peer has not taken."""
        unsent = self.unsent_bytes + transports.count_unsent(self.transport)
        return unsent + self.bodies.count_bytes() if self.bodies else unsent

    def end_batch(self) -> None:
        """End a batch and write its frames to the socket at once.

        One system call carries all frames of the batch.
        """
        self.in_batch = False
        self._write_batch()

    def _write_batch(self) -> None:
        if self._batch:
            data = b"".join(self._batch)
            self._batch.clear()
            self._batch_bytes = 0
            transports.send_now(self.transport, data)

    def send_body(self, call_id: int, body: bytes) -> None:
        """Send ``body`` in parts."""
        self.bodies.add(call_id, body)
        self.send_parts()

    def send_parts(self) -> None:
        """Write parts of bodies until the transport pauses the writer."""
        bodies = self.bodies
        while not self.is_paused and bodies.has_ready():
            self.send(frames.Data(*bodies.next_part()))

    def _flush(self) -> None:
        if self._unsent:
            data = b"".join(self._unsent)
            self._unsent.clear()
            self.unsent_bytes = 0
            self.written_count = self.accepted_count
            self.transport.write(data)

    def pauseProducing(self) -> None:
        """Queue frames: the buffer of the transport is full."""
        self.is_paused = True

    def resumeProducing(self) -> None:
        """Write the queued frames, then parts of bodies."""
        self.is_paused = False
        self._flush()
        self.send_parts()

    def stopProducing(self) -> None:
        """Stop writing: the connection is lost."""
        self.is_paused = True

    def close(self) -> None:
        """Close the connection once the queued frames are sent."""
        self.end_batch()
        self.is_paused = True
        self.transport.unregisterProducer()
        self._flush()
        self.transport.loseConnection()
