"""A call sent to a peer."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import logbook

from jujubetiller import calls, codes
from jujubetiller.streams import _body_assembler, _outgoing, _stream_context

if TYPE_CHECKING:
    from jujubetiller.streams import _caller_stream

_LOG = logbook.Logger("jujubetiller.streams")


class OutgoingCall(_outgoing.Outgoing):
    """One attempt of a call, sent to one peer.

    It ends exactly once: the first result is final, and later ones are ignored.
    """

    __slots__ = (
        "answer",
        "assembler",
        "bucket",
        "call_id",
        "context",
        "deadline",
        "frame_number",
        "must_defer_answer",
        "on_answer",
        "request",
        "stream",
    )

    def __init__(
        self,
        context: _stream_context.StreamContext,
        request: calls.CallRequest,
        deadline: calls.Deadline,
        on_answer: Callable[[calls.CallAnswer], None],
    ) -> None:
        self.context = context
        self.request: calls.CallRequest | None = request
        self.deadline = deadline
        self.on_answer: Callable[[calls.CallAnswer], None] | None = on_answer
        self.stream: _caller_stream.CallerStream | None = None
        """The stream that CALL was written to; None before that."""

        self.call_id = 0
        self.frame_number = 0
        """Number of the CALL frame among those that the stream accepted."""

        self.answer: calls.CallAnswer | None = None
        """The answer whose body is still being received."""

        self.assembler: _body_assembler.BodyAssembler | None = None
        self.must_defer_answer = True
        """Whether the answer must wait for a later reactor turn.

        Set while a method called by the caller runs, which ``on_answer`` must not
        re-enter.
        """

        self.bucket = context.wheel.add(self, deadline.at_ms)
        context.statistics.calls_under_way += 1

    def cancel(self) -> None:
        """End the call because its caller no longer needs the answer.

        ``on_answer`` is called in a later reactor turn, with CALLER_CANCELLED if
        the call was not written and CANCELLED_WHILE_RUNNING otherwise.
        """
        self.must_defer_answer = True
        self._stop(
            codes.ResultCode.CALLER_CANCELLED,
            codes.ResultCode.CANCELLED_WHILE_RUNNING,
        )

    def expire(self) -> None:
        """End the call because its deadline passed."""
        self._stop(codes.ResultCode.DEADLINE_SPENT, codes.ResultCode.DEADLINE_PASSED)

    def _stop(self, unsent: codes.ResultCode, sent: codes.ResultCode) -> None:
        if self.on_answer is None:
            return
        if self.stream is None:
            self.refuse(unsent)
        else:
            self.stream.cancel_call(self.call_id)
            self.finish(calls.make_refusal(sent))

    def has_ended(self) -> bool:
        """Return whether the answer was delivered."""
        return self.on_answer is None

    def send_on(self, stream: "_caller_stream.CallerStream") -> None:
        """Write the call, unless the peer drains or the deadline has passed."""
        if stream.draining:
            self.refuse(codes.ResultCode.DRAINING)
        elif self.deadline.has_passed(self.context.clock):
            self.refuse(codes.ResultCode.DEADLINE_SPENT)
        else:
            stream.send_call(self)

    def refuse(self, code: codes.ResultCode) -> None:
        """End a call that was not written."""
        if self.on_answer is not None:
            self.context.statistics.refusals[code.name.lower()] += 1
            self.finish(calls.make_refusal(code))

    def finish(self, answer: calls.CallAnswer) -> None:
        """Deliver the answer to the caller, unless the call has ended."""
        on_answer = self.on_answer
        if on_answer is None:
            return
        self.on_answer = None
        self.request = None
        self.answer = None
        if self.assembler is not None:
            self.assembler.release()
            self.assembler = None
        self.context.wheel.remove(self, self.bucket)
        self.context.statistics.calls_under_way -= 1
        if self.must_defer_answer:
            self.context.call_soon(on_answer, answer)
            return
        try:
            on_answer(answer)
        except Exception:
            # An error in one callback must not end the stream that other calls use.
            _LOG.exception("answer callback failed")
            self.context.statistics.refusals["answer_callback_failed"] += 1
