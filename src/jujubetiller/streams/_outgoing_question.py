"""Base class of questions that a peer answers with one frame."""

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, ClassVar

import logbook

from jujubetiller import codes, frames
from jujubetiller.streams import _outgoing, _stream_context

if TYPE_CHECKING:
    from jujubetiller.streams import _caller_stream

_LOG = logbook.Logger("jujubetiller.streams")


class OutgoingQuestion(_outgoing.Outgoing):
    """One question; its result is ``NO_RESULT`` unless it is answered in time."""

    __slots__ = ("bucket", "call_id", "context", "on_result", "stream")

    NAME: ClassVar[str]
    NO_RESULT: ClassVar[Any]

    def __init__(
        self,
        context: _stream_context.StreamContext,
        timeout_ms: float,
        on_result: Callable[[Any], None],
    ) -> None:
        self.context = context
        self.on_result: Callable[[Any], None] | None = on_result
        self.call_id = 0
        self.stream: _caller_stream.CallerStream | None = None
        self.bucket = context.wheel.add(self, context.clock.now_ms() + timeout_ms)

    @abc.abstractmethod
    def make_frame(self, call_id: int) -> frames.Frame:
        """Return the frame that asks the question."""

    def has_ended(self) -> bool:
        """Return whether the result was delivered."""
        return self.on_result is None

    def send_on(self, stream: "_caller_stream.CallerStream") -> None:
        """Write the frame."""
        stream.send_question(self)

    def refuse(self, code: codes.ResultCode) -> None:
        """Deliver no result: nothing was written, or the stream was lost."""
        self.context.statistics.refusals[f"{self.NAME}_{code.name.lower()}"] += 1
        self.finish(self.NO_RESULT)

    def expire(self) -> None:
        """Deliver no result: no answer was received before the timeout."""
        self.context.statistics.refusals[f"{self.NAME}_timeout"] += 1
        if self.stream is not None:
            self.stream.drop_question(self.call_id)
        self.finish(self.NO_RESULT)

    def finish(self, result: Any) -> None:
        """Deliver the result, unless it was delivered before."""
        on_result = self.on_result
        if on_result is None:
            return
        self.on_result = None
        self.context.wheel.remove(self, self.bucket)
        try:
            on_result(result)
        except Exception:
            _LOG.exception("result callback of a question failed")
            self.context.statistics.refusals["answer_callback_failed"] += 1
