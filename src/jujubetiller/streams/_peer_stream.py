"""The common part of both sides of a stream."""

import abc
from collections.abc import Callable
from typing import Any

import attrs
import logbook
from twisted.internet import error, protocol
from twisted.python import failure

from jujubetiller import codes, frames
from jujubetiller.streams import (
    _checks,
    _frame_writer,
    _hello,
    _peer_identity,
    _silence_detector,
    _stream_context,
)

UNUSED = 0
"""Code in GOAWAY when a stream without work is closed."""

MAX_HELLO_BYTES = 4_096
"""Longest HELLO. Until it has arrived, anybody may have opened the connection."""

_GOAWAY_REASONS = {
    code.value: f"goaway_{code.name.lower()}" for code in codes.ResultCode
}
_GOAWAY_REASONS[UNUSED] = "unused"

_LOG = logbook.Logger("jujubetiller.streams")


class PeerStream(protocol.Protocol, _checks.Checked):
    """A TCP stream to another node: handshake, heartbeats and flow control."""

    def __init__(
        self,
        context: _stream_context.StreamContext,
        on_ready: Callable[[Any], None],
        on_closed: Callable[[Any, str], None],
    ) -> None:
        self.context = context
        self.on_ready = on_ready
        self.on_closed = on_closed
        self.peer: _peer_identity.PeerIdentity | None = None
        """Identity from the HELLO of the peer; None before it is received."""

        self.stream_id = str(next(context.stream_numbers))
        """Names the stream in HELLO."""

        self.peer_stream_id = ""
        """What the peer has named the stream; empty before HELLO, and for a peer whose
        program does not know RECONCILE."""

        self.draining = False
        """Whether the peer accepts no new calls."""

        self.is_open = False
        self.closing = False
        """Whether the stream is being closed and ignores received data."""

        self.close_reason = ""
        self.closing_at_ms = 0.0
        self.writer = _frame_writer.FrameWriter(
            context.encoder, context.statistics, context.settings.max_unsent_bytes
        )
        self.decoder = frames.FrameDecoder(
            context.settings.max_frame_bytes, MAX_HELLO_BYTES
        )
        self.opened_at_ms = context.clock.now_ms()
        self.used_at_ms = self.opened_at_ms
        self.ping_number = 0
        self.sent_identity = context.identity()
        self.silence = _silence_detector.make_silence_detector(
            self.opened_at_ms, context.settings
        )
        self.frame_handlers: dict[type[frames.Frame], Callable[[Any], None]] = {
            frames.Hello: self._receive_hello,
            frames.Ping: self._receive_ping,
            frames.Pong: self._receive_pong,
            frames.Goaway: self._receive_goaway,
            frames.Credit: self._receive_credit,
            frames.Digest: self._receive_control,
            frames.Pull: self._receive_control,
            frames.Push: self._receive_control,
        }

    # Methods in which the calling and the serving side differ.

    @abc.abstractmethod
    def has_work(self) -> bool:
        """Return whether calls or bodies are outstanding."""

    @abc.abstractmethod
    def end_work(self) -> None:
        """End all outstanding calls and bodies: the stream is lost."""

    def is_busy(self) -> bool:
        """Return whether the stream has work, or waits for its peer or its end."""
        return (
            self.closing
            or self.peer is None
            or self.silence.is_pinged()
            or self.has_work()
        )

    # Twisted's interface.

    def connectionMade(self) -> None:
        """Send HELLO."""
        self.writer.open(self.transport)
        self.is_open = True
        self.context.statistics.streams_open += 1
        self._send_hello()

    def dataReceived(self, data: bytes) -> None:
        """Decode ``data`` and handle its frames in order."""
        if self.closing:
            return
        self.silence.note_received()
        decoder = self.decoder
        control_before, count_before = decoder.control_bytes, decoder.frame_count
        decoded, problem = decoder.feed(data)
        statistics = self.context.statistics
        statistics.bytes_in += len(data)
        statistics.frames_in += decoder.frame_count - count_before
        statistics.control_bytes_in += decoder.control_bytes - control_before
        self.writer.in_batch = True
        for frame in decoded:
            receive = self.frame_handlers.get(type(frame))
            if receive is None or (self.peer is None and not frame.CONTROL):
                self.fail(codes.ResultCode.BAD_FRAME, f"unexpected {frame.NAME}")
            else:
                receive(frame)
            if self.closing:
                return
        if problem is not None:
            self.fail(problem.code, str(problem))
        else:
            self.writer.end_batch()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """End all outstanding work and notify the handler."""
        self.is_open = False
        self.closing = True
        self.context.statistics.streams_open -= 1
        if not self.close_reason:
            clean = isinstance(reason.value, error.ConnectionDone)
            self.close_reason = "closed_by_peer" if clean else "connection_lost"
        self.count(f"stream_{self.close_reason}")
        self.end_work()
        self.on_closed(self, self.close_reason)
        if self.peer is not None:
            self.notify_handler(
                self.context.handler.peer_lost, self.peer, self.close_reason
            )

    # Sending.

    def send_control(self, message: frames.Digest | frames.Pull | frames.Push) -> None:
        """Write a control message; one that cannot be written is counted."""
        if not self.is_open or self.closing or self.writer.is_full():
            self.count("control_not_sent")
            return
        self.used_at_ms = self.context.clock.now_ms()
        problem = self.writer.send(message)
        if problem is not None:
            _LOG.warning("control message not sent: {}", problem)
            self.count("control_too_large")

    def _send_hello(self) -> None:
        identity = self.sent_identity = self.context.identity()
        problem = self.writer.send(
            _hello.make_hello(identity, self.context.settings, self.stream_id)
        )
        if problem is not None:
            self.close(str(problem))

    def send_goaway(self, code: codes.ResultCode, closing: bool) -> None:
        """Send GOAWAY, after which the peer sends no new calls on this stream."""
        if self.is_open and not self.closing:
            self.writer.send(frames.Goaway(code.value, closing, code.name))

    def refresh_identity(self, identity: _peer_identity.PeerIdentity) -> None:
        """Send HELLO again if the key epoch, draining or incarnation has changed.

        The state digest changes often and is sent in DIGEST frames instead.
        """
        if self.peer is not None and not self.closing:
            sent = self.sent_identity
            if (sent.key_epoch, sent.draining, sent.incarnation) != (
                identity.key_epoch,
                identity.draining,
                identity.incarnation,
            ):
                self._send_hello()

    # Receiving.

    def _receive_hello(self, hello: frames.Hello) -> None:
        is_first = self.peer is None
        self.peer = _hello.read_identity(hello)
        if is_first:
            self.peer_stream_id = hello.stream_id
            self.draining = hello.draining
            self.writer.set_peer_limits(
                min(self.context.settings.max_frame_bytes, hello.max_frame_bytes),
                self.context.settings.data_frame_bytes,
                hello.call_window_bytes,
            )
            self.notify_handler(self.context.handler.peer_connected, self.peer)
            self.on_ready(self)
        elif hello.draining:
            self._mark_draining()

    def _mark_draining(self) -> None:
        if not self.draining and self.peer is not None:
            self.draining = True
            self.peer = attrs.evolve(self.peer, draining=True)
            self.notify_handler(self.context.handler.peer_draining, self.peer)

    def _receive_ping(self, ping: frames.Ping) -> None:
        self.writer.send(frames.Pong(ping.number))

    def _receive_pong(self, pong: frames.Pong) -> None:
        """Do nothing: any received data has already reset the silence detector."""

    def _receive_goaway(self, goaway: frames.Goaway) -> None:
        if goaway.code == codes.ResultCode.DRAINING:
            self._mark_draining()
        else:
            _LOG.info("peer is closing the stream: {} {}", goaway.code, goaway.message)
            self.close_reason = _GOAWAY_REASONS.get(goaway.code, "goaway")

    def _receive_credit(self, credit: frames.Credit) -> None:
        self.writer.bodies.add_credit(credit.call_id, credit.amount_bytes)
        self.writer.send_parts()

    def _receive_control(
        self, message: frames.Digest | frames.Pull | frames.Push
    ) -> None:
        if self.peer is None:
            self.fail(codes.ResultCode.BAD_FRAME, f"{message.NAME} before hello")
            return
        self.used_at_ms = self.context.clock.now_ms()
        self.notify_handler(
            self.context.handler.handle_control, self.peer, message, self.send_control
        )

    def notify_handler(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Call a handler method; its exceptions must not end the stream."""
        try:
            function(*arguments)
        except Exception:
            _LOG.exception("stream handler failed")
            self.count("handler_failed")

    def count(self, reason: str) -> None:
        """Count a refusal, a dropped frame or a closed stream under ``reason``."""
        self.context.statistics.refusals[reason] += 1

    # Timeouts and closing.

    def tick(self, now_ms: float) -> None:
        """Send a PING if one is due, and abort the stream after a timeout."""
        if not self.is_open:
            return
        if self.closing:
            if now_ms - self.closing_at_ms >= self.context.settings.connect_timeout_ms:
                self.abort(self.close_reason)
            return
        if self.peer is None:
            if now_ms - self.opened_at_ms >= self.context.settings.connect_timeout_ms:
                self.abort("no_hello")
            return
        silence = self.silence.tick(now_ms, self.has_work())
        if silence is _silence_detector.Silence.PING_DUE:
            self.ping_number += 1
            self.writer.send(frames.Ping(self.ping_number))
        elif silence is _silence_detector.Silence.DEAD:
            self.abort("silent")

    def fail(self, code: codes.ResultCode, message: str) -> None:
        """Send GOAWAY and close the stream after a protocol error of the peer."""
        _LOG.warning("peer stream closed: {} {}", code.name, message)
        self.count(code.name.lower())
        if self.is_open:
            self.writer.send(frames.Goaway(code.value, True, message[:200]))
        self.close(code.name.lower())

    def close(self, reason: str) -> None:
        """Close the stream once the written data is sent.

        A stream whose peer does not read is aborted after the connect timeout.
        """
        if self.closing:
            return
        self.closing = True
        self.closing_at_ms = self.context.clock.now_ms()
        self.close_reason = reason
        if self.is_open:
            self.writer.close()

    def abort(self, reason: str) -> None:
        """Close the stream at once."""
        self.closing = True
        self.close_reason = reason
        if self.is_open:
            self.writer.transport.abortConnection()
