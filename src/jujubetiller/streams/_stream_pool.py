"""The pool of all streams of a node."""

from collections.abc import Callable, Iterator
from typing import Any

from twisted.internet import defer, interfaces

from jujubetiller import calls, clock, codes, frames, settings
from jujubetiller.streams import (
    _checks,
    _connect_attempt,
    _deadline_wheel,
    _memory_budget,
    _outgoing,
    _outgoing_call,
    _outgoing_connect,
    _outgoing_control,
    _outgoing_seal,
    _peer_identity,
    _peer_slot,
    _peer_stream,
    _pool_timer,
    _stream_context,
    _stream_handler,
    _stream_listener,
    _stream_statistics,
)

TICK_MS = 10.0
"""Longest delay between a deadline and its detection."""

IDENTITY_TICK_MS = 1_000.0
"""Longest delay until peers are sent a changed identity, such as a new key epoch."""


class StreamPool:
    """Sends calls to peers and receives calls from them.

    It opens one stream per address on demand and passes received calls to the
    handler.
    """

    def __init__(
        self,
        reactor: Any,
        time_source: clock.Clock,
        stream_settings: settings.StreamSettings,
        identity: Callable[[], _peer_identity.PeerIdentity],
        handler: _stream_handler.StreamHandler,
    ) -> None:
        self.reactor = reactor
        self.context = _stream_context.StreamContext(
            settings=stream_settings,
            clock=time_source,
            identity=identity,
            handler=handler,
            encoder=frames.FrameEncoder(stream_settings.max_frame_bytes),
            wheel=_deadline_wheel.DeadlineWheel(TICK_MS, time_source.now_ms()),
            partial_bodies=_memory_budget.MemoryBudget(
                stream_settings.max_partial_body_bytes
            ),
            statistics=_stream_statistics.StreamStatistics(),
            checks=_checks.StreamChecks(
                time_source, stream_settings.heartbeat_ms, self._bring_forward
            ),
            call_soon=lambda function, *arguments: reactor.callLater(
                0, function, *arguments
            ),
        )
        self.listener = _stream_listener.StreamListener(self.context, self._note_peer)
        self.slots: dict[settings.Address, _peer_slot.PeerSlot] = {}
        self.closed: defer.Deferred[None] | None = None
        self._ports: list[interfaces.IListeningPort] = []
        self.timer = _pool_timer.PoolTimer(reactor, time_source, self._tick)
        self.timer.schedule(time_source.now_ms() + TICK_MS)
        self._next_identity_tick_ms = 0.0
        self._is_finished = False

    def listen(self, address: settings.Address) -> interfaces.IListeningPort:
        """Accept streams at ``address`` and return the listening port.

        Raises ``twisted.internet.error.CannotListenError`` when the address is
        in use.
        """
        port: interfaces.IListeningPort = self.reactor.listenTCP(
            address.port, self.listener, interface=address.host
        )
        self._ports.append(port)
        return port

    def send_call(
        self,
        address: settings.Address,
        request: calls.CallRequest,
        deadline: calls.Deadline,
        on_answer: Callable[[calls.CallAnswer], None],
    ) -> _outgoing_call.OutgoingCall:
        """Send ``request`` and call ``on_answer`` exactly once.

        The answer is delivered at the latest one tick after ``deadline``, and never
        before this method has returned. ``request.deadline_left_ms`` is set to
        the time left when the call is written.
        """
        call = _outgoing_call.OutgoingCall(self.context, request, deadline, on_answer)
        if self.closed is not None:
            call.refuse(codes.ResultCode.DRAINING)
        elif deadline.has_passed(self.context.clock):
            call.refuse(codes.ResultCode.DEADLINE_SPENT)
        elif len(request.body) > self.context.settings.max_body_bytes:
            call.refuse(codes.ResultCode.BODY_TOO_LARGE)
        else:
            self._send(address, call)
        call.must_defer_answer = False
        return call

    def connect(
        self,
        address: settings.Address,
        timeout_ms: float,
        on_result: Callable[[_peer_identity.PeerIdentity | None], None],
    ) -> None:
        """Open a stream if there is none and report the identity of the peer.

        ``on_result`` is called once, in a later reactor turn, with ``None`` if no
        stream was ready within ``timeout_ms``.
        """
        self._send(
            address,
            _outgoing_connect.OutgoingConnect(self.context, timeout_ms, on_result),
        )

    def send_seal(
        self,
        address: settings.Address,
        key: str,
        timeout_ms: float,
        on_result: Callable[[bool], None],
    ) -> None:
        """Ask the owner at ``address`` to seal ``key``.

        ``on_result`` is called once, with True only if the owner confirmed that
        the key never ran and never will.
        """
        self._send(
            address,
            _outgoing_seal.OutgoingSeal(self.context, key, timeout_ms, on_result),
        )

    def send_control(
        self,
        address: settings.Address,
        message: frames.Digest | frames.Pull | frames.Push,
    ) -> None:
        """Send a control message; one that cannot be sent is dropped and counted."""
        statistics = self.context.statistics
        self._send(address, _outgoing_control.OutgoingControl(message, statistics))

    def _send(self, address: settings.Address, outgoing: _outgoing.Outgoing) -> None:
        if self.closed is not None:
            outgoing.refuse(codes.ResultCode.DRAINING)
            return
        self.timer.bring_forward(self.context.wheel.next_ms())
        slot = self.slots.get(address)
        if slot is None:
            slot = self.slots[address] = self._make_slot(address)
        slot.send(outgoing)

    def _make_slot(self, address: settings.Address) -> _peer_slot.PeerSlot:
        def connect(attempt: _connect_attempt.ConnectAttempt) -> bool:
            if self.closed is not None or not self._ensure_room():
                return False
            attempt.connector = self.reactor.connectTCP(
                address.host,
                address.port,
                attempt,
                timeout=self.context.settings.connect_timeout_ms / 1000,
            )
            return True

        return _peer_slot.PeerSlot(self.context, connect)

    def _note_peer(self, peer: _peer_identity.PeerIdentity) -> None:
        """Connect to a peer at once that has just connected to this node."""
        for address, slot in self.slots.items():
            if (address.host, address.port) == (peer.host, peer.peer_port):
                slot.note_reachable()

    def _ensure_room(self) -> bool:
        """Return whether one more stream may be opened.

        At the limit, the least recently used stream without work is closed.
        """
        opened = [
            stream
            for slot in self.slots.values()
            for stream in slot.streams()
            if not stream.closing
        ]
        # The attempt that calls this is already among the attempts.
        attempts = sum(slot.attempt is not None for slot in self.slots.values())
        if len(opened) + attempts <= self.context.settings.max_streams:
            return True
        unused = [stream for stream in opened if not stream.has_work()]
        if not unused:
            return False
        min(unused, key=lambda stream: stream.used_at_ms).close_unused("replaced")
        return True

    def announce_draining(self) -> None:
        """Ask every peer to send no new calls; outstanding calls continue."""
        for stream in self._streams():
            stream.send_goaway(codes.ResultCode.DRAINING, closing=False)

    def has_unsent_answers(self) -> bool:
        """Return whether a peer waits for an answer, or has not taken all of one."""
        return any(stream.has_work() for stream in self.listener.streams)

    def count_unsent(self) -> int:
        """Return the bytes of answers that peers have not taken yet."""
        return sum(stream.writer.count_unsent() for stream in self.listener.streams)

    def is_suspect(self, address: settings.Address) -> bool:
        """Return whether the peer is silent or the last connection attempt failed."""
        slot = self.slots.get(address)
        return slot is not None and slot.is_suspect()

    def identity_of(
        self, address: settings.Address
    ) -> _peer_identity.PeerIdentity | None:
        """Return the identity of the peer at ``address``, or None if not connected."""
        slot = self.slots.get(address)
        return None if slot is None or slot.current is None else slot.current.peer

    def statistics(self) -> _stream_statistics.StreamStatistics:
        """Return the counters, which continue to change."""
        return self.context.statistics

    def close(self) -> defer.Deferred[None]:
        """Refuse new calls, let outstanding ones finish, and close the streams.

        The deferred fires when the last stream is closed. Peers close the streams
        that they opened after their last answers.
        """
        if self.closed is None:
            self.closed = defer.Deferred()
            self.timer.bring_forward(self.context.clock.now_ms() + TICK_MS)
            self.listener.closing = True
            for port in self._ports:
                port.stopListening()
            for slot in list(self.slots.values()):
                slot.close()
            for stream in list(self.listener.streams):
                stream.request_close()
            self._finish_if_closed()
        return self.closed

    def abort(self) -> defer.Deferred[None]:
        """Close every stream at once; outstanding calls end as lost."""
        closed = self.close()
        for slot in list(self.slots.values()):
            slot.abort()
        for stream in list(self.listener.streams):
            stream.abort("pool_closed")
        self._finish_if_closed()
        return closed

    def _finish_if_closed(self) -> None:
        if (
            self.closed is not None
            and not self._is_finished
            and not self.listener.streams
            and all(slot.is_unused() for slot in self.slots.values())
        ):
            self._is_finished = True
            self.timer.stop()
            self.closed.callback(None)

    def _streams(self) -> list[_peer_stream.PeerStream]:
        opened = [stream for slot in self.slots.values() for stream in slot.streams()]
        return [*opened, *self.listener.streams]

    def _tick(self) -> None:
        now_ms = self.context.clock.now_ms()
        due = self.context.wheel.expire(now_ms)
        try:
            for item in due:
                item.expire()
            self.context.checks.run(now_ms, self._list_checked)
        finally:
            self._schedule_tick(now_ms)
        if now_ms >= self._next_identity_tick_ms:
            self._next_identity_tick_ms = now_ms + IDENTITY_TICK_MS
            identity = self.context.identity()
            for stream in self._streams():
                stream.refresh_identity(identity)
        self._finish_if_closed()

    def _schedule_tick(self, now_ms: float) -> None:
        next_ms = min(self.context.wheel.next_ms(), self.context.checks.next_ms())
        if self.closed is not None:
            next_ms = min(next_ms, now_ms + TICK_MS)
        self.timer.schedule(next_ms)

    def _bring_forward(self, at_ms: float) -> None:
        self.timer.bring_forward(at_ms)

    def _list_checked(self) -> Iterator[_checks.Checked]:
        """Return what has to be checked, and remove the slots that are not needed."""
        now_ms = self.context.clock.now_ms()
        for address, slot in list(self.slots.items()):
            if slot.can_be_removed(now_ms):
                del self.slots[address]
            else:
                yield slot
        yield from list(self.listener.streams)
