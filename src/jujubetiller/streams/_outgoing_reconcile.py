"""The question which calls of a lost stream its peer has received."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from jujubetiller import codes, frames
from jujubetiller.streams import _outgoing_question, _stream_context

if TYPE_CHECKING:
    from jujubetiller.streams import _caller_stream

TIMEOUT_MS = 500.0
"""How long the calls of a lost stream wait for the answer, which mostly needs a new
connection."""


class OutgoingReconcile(_outgoing_question.OutgoingQuestion):
    """One question; its result is the last call id, or None if it is not known."""

    __slots__ = ("stream_id",)

    NAME = "reconcile"
    NO_RESULT = None

    def __init__(
        self,
        context: _stream_context.StreamContext,
        stream_id: str,
        on_result: Callable[[int | None], None],
    ) -> None:
        super().__init__(context, TIMEOUT_MS, on_result)
        self.stream_id = stream_id

    def make_frame(self, call_id: int) -> frames.Frame:
        """Return the RECONCILE frame."""
        return frames.Reconcile(call_id, self.stream_id)

    def send_on(self, stream: "_caller_stream.CallerStream") -> None:
        """Write the frame, if the program of the peer knows it."""
        if stream.peer_stream_id:
            super().send_on(stream)
        else:
            self.refuse(codes.ResultCode.BAD_VERSION)
