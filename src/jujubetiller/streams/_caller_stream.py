"""The calling side of a stream."""

from collections.abc import Callable
from typing import Any

import xxhash

from jujubetiller import calls, codes, frames
from jujubetiller.streams import (
    _body_assembler,
    _outgoing_call,
    _outgoing_question,
    _outgoing_reconcile,
    _outgoing_seal,
    _peer_stream,
    _stream_context,
)


class CallerStream(_peer_stream.PeerStream):
    """A stream that this node opened; it sends calls and receives their answers."""

    def __init__(
        self,
        context: _stream_context.StreamContext,
        on_ready: Callable[[Any], None],
        on_closed: Callable[[Any, str], None],
    ) -> None:
        super().__init__(context, on_ready, on_closed)
        self.last_call_id = 0
        self.outstanding: dict[int, _outgoing_call.OutgoingCall] = {}
        self.questions: dict[int, _outgoing_question.OutgoingQuestion] = {}
        self.lost_calls: list[_outgoing_call.OutgoingCall] = []
        """Calls that were under way when the stream was lost, and that the peer may not
        have received."""

        self.close_when_done = False
        """Whether the stream closes after its last answer."""

        self.frame_handlers[frames.Answer] = self._receive_answer
        self.frame_handlers[frames.Data] = self._receive_data
        self.frame_handlers[frames.Sealed] = self._receive_sealed
        self.frame_handlers[frames.Reconciled] = self._receive_reconciled

    def has_work(self) -> bool:
        """Return whether calls or questions are outstanding."""
        return bool(self.outstanding or self.questions)

    def send_call(self, call: _outgoing_call.OutgoingCall) -> None:
        """Write CALL; a body that fits into one frame is included in it."""
        request = call.request
        if request is None:
            return
        code = self._find_refusal(len(request.body))
        if code is not None:
            call.refuse(code)
            return
        now_ms = self.used_at_ms = self.context.clock.now_ms()
        request.deadline_left_ms = max(0.0, call.deadline.at_ms - now_ms)
        body = request.body
        is_inside = len(body) <= self.writer.part_bytes
        self.last_call_id = call_id = self.last_call_id + 1
        problem = self.writer.send(
            frames.Call(
                call_id, request, len(body), xxhash.xxh64_intdigest(body), is_inside
            )
        )
        if problem is not None:
            call.refuse(codes.ResultCode.BAD_REQUEST)
            return
        self.outstanding[call_id] = call
        call.call_id = call_id
        call.stream = self
        call.frame_number = self.writer.accepted_count
        call.must_defer_answer = False
        self.context.statistics.calls_sent += 1
        if not is_inside:
            self.writer.send_body(call_id, body)

    def _find_refusal(self, body_length: int) -> codes.ResultCode | None:
        if self.closing:
            return codes.ResultCode.UNDELIVERED
        if body_length > self.context.settings.max_body_bytes:
            return codes.ResultCode.BODY_TOO_LARGE
        if len(self.outstanding) >= self.context.settings.max_calls:
            return codes.ResultCode.TOO_MANY_CALLS
        if self.writer.is_full():
            self.count("unsent_bytes")
            return codes.ResultCode.TOO_MANY_CALLS
        return None

    def cancel_call(self, call_id: int) -> None:
        """Drop a call and send CANCEL to the peer."""
        if self.outstanding.pop(call_id, None) is not None:
            self.writer.bodies.drop(call_id)
            if self.is_open and not self.closing:
                self.writer.send(frames.Cancel(call_id))
            self.close_if_done()

    def send_question(self, question: _outgoing_question.OutgoingQuestion) -> None:
        """Write the frame of a question, which is refused if it cannot be written."""
        self.last_call_id = call_id = self.last_call_id + 1
        self.used_at_ms = self.context.clock.now_ms()
        if (
            self.closing
            or len(self.questions) >= self.context.settings.max_calls
            or self.writer.send(question.make_frame(call_id)) is not None
        ):
            question.refuse(codes.ResultCode.UNDELIVERED)
            return
        question.call_id = call_id
        question.stream = self
        self.questions[call_id] = question

    def drop_question(self, call_id: int) -> None:
        """Stop waiting for the answer to a question."""
        self.questions.pop(call_id, None)
        self.close_if_done()

    def _receive_answer(self, frame: frames.Answer) -> None:
        call = self.outstanding.get(frame.call_id)
        if call is None or call.answer is not None:
            self.count("answer_for_unknown_call")
            return
        # The peer may answer before it has read the whole request.
        self.writer.bodies.drop(frame.call_id)
        answer = frame.answer
        if frame.body_inside:
            is_intact = _body_assembler.is_intact(
                answer.body, frame.body_length, frame.checksum
            )
            self._finish(
                frame.call_id,
                answer
                if is_intact
                else calls.make_refusal(codes.ResultCode.ANSWER_INCOMPLETE),
            )
        elif answer.body:
            self._fail_call(frame.call_id, codes.ResultCode.ANSWER_INCOMPLETE)
        elif frame.body_length > self.context.settings.max_body_bytes:
            self._fail_call(frame.call_id, codes.ResultCode.ANSWER_TOO_LARGE)
        elif not self.context.partial_bodies.reserve(frame.body_length):
            self.count("partial_bodies")
            self._fail_call(frame.call_id, codes.ResultCode.ANSWER_TOO_LARGE)
        else:
            call.answer = answer
            call.assembler = _body_assembler.BodyAssembler(
                frame.body_length,
                frame.checksum,
                self.context.settings.call_window_bytes,
                self.context.partial_bodies,
            )

    def _receive_data(self, frame: frames.Data) -> None:
        call_id = frame.call_id
        call = self.outstanding.get(call_id)
        if call is None or call.assembler is None or call.answer is None:
            self.count("data_for_unknown_call")
            return
        assembler = call.assembler
        if not assembler.add(frame.payload):
            self._fail_call(call_id, codes.ResultCode.ANSWER_INCOMPLETE)
        elif not assembler.is_full():
            amount_bytes = assembler.window.grant()
            if amount_bytes:
                self.writer.send(frames.Credit(call_id, amount_bytes))
        else:
            body = assembler.assemble()
            answer = call.answer
            if body is None:
                answer = calls.make_refusal(codes.ResultCode.ANSWER_INCOMPLETE)
            else:
                answer.body = body
            self._finish(call_id, answer)

    def _receive_sealed(self, frame: frames.Sealed) -> None:
        self._finish_question(
            frame.call_id, _outgoing_seal.OutgoingSeal, frame.confirmed
        )

    def _receive_reconciled(self, frame: frames.Reconciled) -> None:
        last_call_id = frame.last_call_id if frame.is_known else None
        self._finish_question(
            frame.call_id, _outgoing_reconcile.OutgoingReconcile, last_call_id
        )

    def _finish_question(
        self,
        call_id: int,
        kind: type[_outgoing_question.OutgoingQuestion],
        result: bool | int | None,
    ) -> None:
        question = self.questions.get(call_id)
        if not isinstance(question, kind):
            self.count(f"answer_for_unknown_{kind.NAME}")
            return
        del self.questions[call_id]
        question.finish(result)
        self.close_if_done()

    def _fail_call(self, call_id: int, code: codes.ResultCode) -> None:
        call = self.outstanding[call_id]
        self.count(code.name.lower())
        self.cancel_call(call_id)
        call.finish(calls.make_refusal(code))

    def _finish(self, call_id: int, answer: calls.CallAnswer) -> None:
        call = self.outstanding.pop(call_id)
        if answer.code is codes.ResultCode.ANSWER_INCOMPLETE:
            self.count("answer_incomplete")
        self.context.statistics.answers_delivered += 1
        call.finish(answer)
        self.close_if_done()

    def _receive_goaway(self, goaway: frames.Goaway) -> None:
        super()._receive_goaway(goaway)
        self.draining = True
        if goaway.closing:
            self.retire()

    def retire(self) -> None:
        """Send no new calls and close after the last answer.

        The calling side closes the stream, because only it knows that every
        answer was received.
        """
        self.close_when_done = True
        self.close_if_done()

    def close_if_done(self) -> None:
        """Close a retired stream without outstanding calls or questions."""
        if self.close_when_done and not self.has_work():
            self.close_unused("retired")

    def close_unused(self, reason: str) -> None:
        """Close a stream without work, after a GOAWAY that reports no error."""
        if self.is_open and not self.closing:
            self.writer.send(frames.Goaway(_peer_stream.UNUSED, False, reason))
        self.close(reason)

    def tick(self, now_ms: float) -> None:
        """Close the stream if it is idle, else check its heartbeat."""
        idle_ms = now_ms - self.used_at_ms
        if (
            self.peer is not None
            and not self.closing
            and not self.has_work()
            and idle_ms >= self.context.settings.idle_close_ms
        ):
            self.close_unused("idle")
            return
        super().tick(now_ms)

    def end_work(self) -> None:
        """End the calls whose CALL was not written, and keep the others.

        ``end_lost_calls`` ends these, once the peer has told which it received.
        """
        outstanding, self.outstanding = self.outstanding, {}
        for call in outstanding.values():
            if call.frame_number <= self.writer.written_count:
                self.lost_calls.append(call)
            else:
                self._end_lost(call, codes.ResultCode.UNDELIVERED)
        questions, self.questions = self.questions, {}
        for question in questions.values():
            question.refuse(codes.ResultCode.STREAM_LOST)

    def end_lost_calls(self, last_call_id: int | None) -> None:
        """End the calls under way when the stream was lost, as not run if possible.

        Those behind ``last_call_id`` were not received. None means that this is not
        known.
        """
        lost_calls, self.lost_calls = self.lost_calls, []
        for call in lost_calls:
            was_received = last_call_id is None or call.call_id <= last_call_id
            code = codes.ResultCode.UNDELIVERED
            if was_received:
                code = codes.ResultCode.STREAM_LOST
            self._end_lost(call, code)

    def _end_lost(
        self, call: _outgoing_call.OutgoingCall, code: codes.ResultCode
    ) -> None:
        self.count(code.name.lower())
        call.finish(calls.make_refusal(code))
