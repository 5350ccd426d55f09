"""The streams from this node to one peer address."""

from collections.abc import Callable

from jujubetiller import codes
from jujubetiller.streams import (
    _caller_stream,
    _checks,
    _connect_attempt,
    _outgoing,
    _outgoing_reconcile,
    _stream_context,
)

REMOVE_FAILED_AFTER_MS = 60_000.0


class PeerSlot(_checks.Checked):
    """Keeps one stream to an address and replaces it when a PING goes unanswered."""

    def __init__(
        self,
        context: _stream_context.StreamContext,
        connect: Callable[[_connect_attempt.ConnectAttempt], bool],
    ) -> None:
        self.context = context
        self.connect = connect
        """Starts a connection attempt; False if the pool has too many streams."""

        self.current: _caller_stream.CallerStream | None = None
        self.attempt: _connect_attempt.ConnectAttempt | None = None
        self.retired: set[_caller_stream.CallerStream] = set()
        """Replaced streams that still have outstanding calls."""

        self.waiting: dict[_outgoing.Outgoing, None] = {}
        self.failed = False
        """Whether the last connection attempt failed."""

        self.retry_at_ms = 0.0

    def send(self, outgoing: _outgoing.Outgoing) -> None:
        """Send on the current stream, or queue until a working stream is open."""
        self.context.checks.add_busy(self)
        stream = self.current
        if (
            stream is not None
            and not stream.closing
            and not stream.silence.is_suspect()
        ):
            outgoing.send_on(stream)
            return
        if self.attempt is None:
            if self.context.clock.now_ms() < self.retry_at_ms:
                outgoing.refuse(codes.ResultCode.PEER_UNREACHABLE)
                return
            if not self._open():
                outgoing.refuse(codes.ResultCode.TOO_MANY_STREAMS)
                return
        if len(self.waiting) >= self.context.settings.max_calls:
            self._drop_ended()
        if len(self.waiting) >= self.context.settings.max_calls:
            outgoing.refuse(codes.ResultCode.TOO_MANY_CALLS)
        else:
            self.waiting[outgoing] = None

    def note_reachable(self) -> None:
        """Forget a failed connection attempt: the peer can be reached again."""
        self.failed = False
        self.retry_at_ms = 0.0

    def _drop_ended(self) -> None:
        self.waiting = {item: None for item in self.waiting if not item.has_ended()}

    def _open(self) -> bool:
        attempt = _connect_attempt.ConnectAttempt(
            self.context, self._attempt_ready, self._attempt_failed, self._closed
        )
        self.attempt = attempt
        if self.connect(attempt):
            return True
        self.attempt = None
        return False

    def _attempt_ready(self, stream: _caller_stream.CallerStream) -> None:
        old, self.current = self.current, stream
        self.attempt = None
        self.failed = False
        if old is not None:
            self.retired.add(old)
            old.retire()
        self._send_waiting()

    def _attempt_failed(self, reason: str) -> None:
        self.attempt = None
        self.failed = True
        self.retry_at_ms = (
            self.context.clock.now_ms() + self.context.settings.reconnect_wait_ms
        )
        self.context.statistics.refusals["connect_failed"] += 1
        self._send_waiting()

    def _send_waiting(self) -> None:
        waiting, self.waiting = self.waiting, {}
        stream = self.current
        for outgoing in waiting:
            if outgoing.has_ended():
                continue
            if (
                stream is None
                or stream.closing
                or (self.failed and stream.silence.is_suspect())
            ):
                outgoing.refuse(codes.ResultCode.PEER_UNREACHABLE)
            else:
                outgoing.send_on(stream)

    def _closed(self, stream: _caller_stream.CallerStream) -> None:
        self.retired.discard(stream)
        if self.current is stream:
            self.current = None
        if not stream.lost_calls:
            return
        if not stream.peer_stream_id:
            stream.end_lost_calls(None)
            return
        self.send(
            _outgoing_reconcile.OutgoingReconcile(
                self.context, stream.stream_id, stream.end_lost_calls
            )
        )

    def tick(self, now_ms: float) -> None:
        """Check timeouts and heartbeats, and replace a suspect stream."""
        attempt = self.attempt
        timeout_ms = self.context.settings.connect_timeout_ms
        if attempt is not None and now_ms - attempt.started_at_ms >= timeout_ms:
            attempt.fail("connect_timeout")
        for retired in list(self.retired):
            retired.tick(now_ms)
        current = self.current
        if current is not None:
            current.tick(now_ms)
            if (
                current.has_work()
                and current.silence.is_suspect()
                and self.attempt is None
                and now_ms >= self.retry_at_ms
            ):
                self._open()

    def is_busy(self) -> bool:
        """Return whether a connection is attempted or a stream is busy."""
        return self.attempt is not None or any(
            stream.is_busy() for stream in self.streams()
        )

    def is_suspect(self) -> bool:
        """Return whether the peer is silent or the last connection attempt failed."""
        if self.current is None:
            return self.failed
        return self.current.silence.is_suspect()

    def streams(self) -> list[_caller_stream.CallerStream]:
        """Return the streams that are open to the address."""
        current = [] if self.current is None else [self.current]
        return [*current, *self.retired]

    def is_unused(self) -> bool:
        """Return whether no stream is open or being opened."""
        return self.current is None and self.attempt is None and not self.retired

    def can_be_removed(self, now_ms: float) -> bool:
        """Return whether the slot is unused and its last failure is outdated."""
        return self.is_unused() and now_ms - self.retry_at_ms >= REMOVE_FAILED_AFTER_MS

    def close(self) -> None:
        """Close each stream after its last answer, and refuse what is queued."""
        if self.attempt is not None:
            self.attempt.fail("pool_closed")
        for stream in self.streams():
            stream.retire()

    def abort(self) -> None:
        """Close the streams at once."""
        if self.attempt is not None:
            self.attempt.fail("pool_closed")
        for stream in self.streams():
            stream.abort("pool_closed")
