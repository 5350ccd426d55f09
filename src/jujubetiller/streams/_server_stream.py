"""The serving side of a stream."""

from collections.abc import Callable
from typing import Any

import logbook
import xxhash

from jujubetiller import calls, codes, frames
from jujubetiller.streams import (
    _body_assembler,
    _incoming_call,
    _peer_stream,
    _received_calls,
    _stream_context,
)

_LOG = logbook.Logger("jujubetiller.streams")


class ServerStream(_peer_stream.PeerStream):
    """A stream that a peer opened; it receives calls and sends their answers."""

    def __init__(
        self,
        context: _stream_context.StreamContext,
        on_ready: Callable[[Any], None],
        on_closed: Callable[[Any, str], None],
        received_calls: _received_calls.ReceivedCalls,
    ) -> None:
        super().__init__(context, on_ready, on_closed)
        self.received_calls = received_calls
        self.last_call_id = 0
        self.incoming: dict[int, _incoming_call.IncomingCall] = {}
        self.close_requested = False
        self.unused_since_ms = 0.0
        self.frame_handlers[frames.Call] = self._receive_call
        self.frame_handlers[frames.Data] = self._receive_data
        self.frame_handlers[frames.Cancel] = self._receive_cancel
        self.frame_handlers[frames.Seal] = self._receive_seal
        self.frame_handlers[frames.Reconcile] = self._receive_reconcile

    def find_key(self) -> _received_calls.StreamKey | None:
        """Return the key of this stream, or None if its caller has not named it."""
        if self.peer is None or not self.peer_stream_id:
            return None
        return _received_calls.StreamKey.of(self.peer, self.peer_stream_id)

    def has_work(self) -> bool:
        """Return whether a call is outstanding or an answer is not fully written."""
        return bool(
            self.incoming or len(self.writer.bodies) or self.writer.unsent_bytes
        )

    def _receive_call(self, frame: frames.Call) -> None:
        call_id = frame.call_id
        if call_id <= self.last_call_id:
            self.count("call_id_reused")
            return
        self.last_call_id = call_id
        self.context.statistics.calls_received += 1
        code = self._find_refusal(frame)
        if code is not None:
            self.count(code.name.lower())
            self.send_answer(call_id, calls.make_refusal(code))
            return
        call = _incoming_call.IncomingCall(
            self, call_id, frame.request, self.context.clock.now_ms()
        )
        self.incoming[call_id] = call
        self.context.checks.add_busy(self)
        if frame.body_inside:
            self._run(call, frame.request)
        else:
            # The memory was reserved by _find_refusal.
            call.assembler = _body_assembler.BodyAssembler(
                frame.body_length,
                frame.checksum,
                self.context.settings.call_window_bytes,
                self.context.partial_bodies,
            )

    def _find_refusal(self, frame: frames.Call) -> codes.ResultCode | None:
        if frame.body_length > self.context.settings.max_body_bytes:
            return codes.ResultCode.BODY_TOO_LARGE
        under_way = len(self.incoming) + len(self.writer.bodies)
        if under_way >= self.context.settings.max_calls:
            return codes.ResultCode.TOO_MANY_CALLS
        body = frame.request.body
        if frame.body_inside:
            if not _body_assembler.is_intact(body, frame.body_length, frame.checksum):
                return codes.ResultCode.BAD_FRAME
        elif body:
            return codes.ResultCode.BAD_FRAME
        elif not self.context.partial_bodies.reserve(frame.body_length):
            self.count("partial_bodies")
            return codes.ResultCode.TOO_MANY_CALLS
        return None

    def _receive_data(self, frame: frames.Data) -> None:
        call = self.incoming.get(frame.call_id)
        if call is None or call.assembler is None or call.request is None:
            self.count("data_for_unknown_call")
            return
        assembler = call.assembler
        if not assembler.add(frame.payload):
            self._refuse_body(call)
        elif not assembler.is_full():
            amount_bytes = assembler.window.grant()
            if amount_bytes:
                self.writer.send(frames.Credit(frame.call_id, amount_bytes))
        else:
            body = assembler.assemble()
            if body is None:
                self._refuse_body(call)
                return
            request = call.request
            request.body = body
            waited_ms = self.context.clock.now_ms() - call.arrived_at_ms
            request.deadline_left_ms = max(0.0, request.deadline_left_ms - waited_ms)
            call.keep_body(self.context.partial_bodies, len(body))
            self._run(call, request)

    def _refuse_body(self, call: _incoming_call.IncomingCall) -> None:
        self.count("request_body_incomplete")
        call.reply(calls.make_refusal(codes.ResultCode.BAD_FRAME))

    def _run(
        self, call: _incoming_call.IncomingCall, request: calls.CallRequest
    ) -> None:
        call.request = None
        try:
            cancel = self.context.handler.handle_call(request, call.reply)
        except Exception:
            _LOG.exception("call handler failed")
            self.count("call_handler_failed")
            # The handler may have started the call before it failed.
            call.reply(calls.make_refusal(codes.ResultCode.ANSWER_INCOMPLETE))
            return
        if call.stream is not None:
            call.cancel_handler = cancel

    def send_answer(self, call_id: int, answer: calls.CallAnswer) -> None:
        """Write ANSWER; a body that fits into one frame is included in it."""
        self.incoming.pop(call_id, None)
        if not self.is_open or self.closing:
            self.count("answer_after_end")
            return
        if self.writer.is_full():
            # Answers cannot be refused, so a peer that does not read loses its stream.
            self.abort("peer_does_not_read")
            return
        body = answer.body
        if len(body) > self.context.settings.max_body_bytes:
            self._send_replacement(call_id, codes.ResultCode.ANSWER_TOO_LARGE)
            return
        is_inside = len(body) <= self.writer.part_bytes
        problem = self.writer.send(
            frames.Answer(
                call_id, answer, len(body), xxhash.xxh64_intdigest(body), is_inside
            )
        )
        if problem is not None:
            _LOG.warning("answer not sent: {}", problem)
            self._send_replacement(call_id, codes.ResultCode.ANSWER_TOO_LARGE)
        elif not is_inside:
            self.writer.send_body(call_id, body)

    def _send_replacement(self, call_id: int, code: codes.ResultCode) -> None:
        self.count(code.name.lower())
        refusal = calls.make_refusal(code)
        self.writer.send(
            frames.Answer(call_id, refusal, 0, xxhash.xxh64_intdigest(b""))
        )

    def _receive_cancel(self, frame: frames.Cancel) -> None:
        self.writer.bodies.drop(frame.call_id)
        call = self.incoming.pop(frame.call_id, None)
        if call is not None:
            self._cancel(call)

    def _cancel(self, call: _incoming_call.IncomingCall) -> None:
        call.stream = None
        call.drop_body(self.context.partial_bodies)
        cancel, call.cancel_handler = call.cancel_handler, None
        if cancel is not None:
            try:
                cancel()
            except Exception:
                _LOG.exception("cancel function of a call failed")
                self.count("call_handler_failed")

    def _receive_seal(self, frame: frames.Seal) -> None:
        call_id = frame.call_id

        def reply(confirmed: bool) -> None:
            if self.is_open and not self.closing:
                self.writer.send(frames.Sealed(call_id, confirmed))

        self.notify_handler(self.context.handler.handle_seal, frame.key, reply)

    def _receive_reconcile(self, frame: frames.Reconcile) -> None:
        """Answer which calls were received on a stream that the peer has lost."""
        assert self.peer is not None
        key = _received_calls.StreamKey.of(self.peer, frame.stream_id)
        last_call_id = self.received_calls.end_stream(key)
        is_known = last_call_id is not None
        self.writer.send(frames.Reconciled(frame.call_id, is_known, last_call_id or 0))

    def tick(self, now_ms: float) -> None:
        """Close a stream that the peer failed to close, and check the heartbeat."""
        if self.close_requested:
            if self.has_work():
                self.unused_since_ms = now_ms
            elif now_ms - self.unused_since_ms >= self.context.settings.silent_after_ms:
                self.close("drained")
        super().tick(now_ms)

    def request_close(self) -> None:
        """Ask the peer to close the stream after its last answer."""
        self.close_requested = True
        self.unused_since_ms = self.context.clock.now_ms()
        self.send_goaway(codes.ResultCode.DRAINING, closing=True)

    def end_work(self) -> None:
        """Cancel every call: its answer can no longer be sent."""
        incoming, self.incoming = self.incoming, {}
        for call in incoming.values():
            self._cancel(call)
