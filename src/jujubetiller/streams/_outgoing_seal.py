"""A request to seal an execution key, sent to its owner."""

from collections.abc import Callable

from jujubetiller import frames
from jujubetiller.streams import _outgoing_question, _stream_context


class OutgoingSeal(_outgoing_question.OutgoingQuestion):
    """One seal request; its result is False unless it is confirmed in time."""

    __slots__ = ("key",)

    NAME = "seal"
    NO_RESULT = False

    def __init__(
        self,
        context: _stream_context.StreamContext,
        key: str,
        timeout_ms: float,
        on_result: Callable[[bool], None],
    ) -> None:
        super().__init__(context, timeout_ms, on_result)
        self.key = key

    def make_frame(self, call_id: int) -> frames.Frame:
        """Return the SEAL frame."""
        return frames.Seal(call_id, self.key)
