"""The pool of connections to the node's own target."""

from collections.abc import Callable
from typing import Any

from jujubetiller import clock, codes, settings
from jujubetiller.target import (
    _held_memory,
    _target_call,
    _target_connection,
    _target_connection_factory,
    _target_probe,
    _target_request,
    _target_response,
    _target_statistics,
)

IDLE_REUSE_MS = 4_000.0
"""Longest idle time after which a connection is reused. Servers often close idle
connections after about this time, and a request that is sent at the same moment ends
with an unknown outcome."""


PROBE_TIMEOUT_MS = 200.0
"""Lost calls wait for the probe; without a listener it is refused at once."""


FREE_BYTES = 1_048_576
"""Responses that occupy less are read whatever else the node holds."""


class TargetClient:
    """Sends requests to the target over a pool of persistent connections."""

    def __init__(
        self,
        reactor: Any,
        time_source: clock.Clock,
        target_settings: settings.TargetSettings,
        close_ends_answer: bool = False,
        requires_echo: bool = False,
    ) -> None:
        self.reactor = reactor
        self.clock = time_source
        self.settings = target_settings
        self.close_ends_answer = close_ends_answer
        """Whether a response without a length is complete when the target closes its
        connection without a reset. If false, such a request ends with an unknown
        outcome."""

        self.requires_echo = requires_echo
        """Whether the target repeats the echo value in all its responses. One without
        it is then accepted only as the first response on a connection, because later
        it may be a second copy of an earlier one."""

        self.statistics = _target_statistics.TargetStatistics()
        self.memory = _held_memory.HeldMemory()
        self.idle: list[_target_connection.TargetConnection] = []
        self.open: set[_target_connection.TargetConnection] = set()

    def send(
        self,
        request: _target_request.TargetRequest,
        on_end: Callable[[_target_response.TargetResponse], None],
    ) -> _target_call.TargetCall:
        """Send ``request`` and call ``on_end`` once with its result.

        The call ends at the request's deadline at the latest.
        """
        call = _target_call.TargetCall(request, on_end)
        left_ms = request.deadline.left_ms(self.clock)
        call.timer = self.reactor.callLater(
            left_ms / 1000.0, self.deadline_passed, call
        )
        connection = self.pop_idle(request.echo)
        if connection is not None:
            connection.send(call)
        else:
            self.reactor.connectTCP(
                self.settings.address.host,
                self.settings.address.port,
                _target_connection_factory.TargetConnectionFactory(self, call),
                timeout=self.settings.connect_timeout_ms / 1000.0,
            )
        return call

    def probe(self, on_end: Callable[[_target_probe.ProbeResult], None]) -> None:
        """Open a connection and report whether the target listens."""
        self.reactor.connectTCP(
            self.settings.address.host,
            self.settings.address.port,
            _target_probe.TargetProbe(on_end),
            timeout=PROBE_TIMEOUT_MS / 1000.0,
        )

    def pop_idle(
        self, echo: tuple[str, str] | None
    ) -> _target_connection.TargetConnection | None:
        """Remove and return the most recently used idle connection that is usable.

        A connection that has carried a request with the same echo is not: a second copy
        of the earlier response could not be told from the response to this request.
        """
        now_ms = self.clock.now_ms()
        for connection in reversed(tuple(self.idle)):
            reuse_ms = min(IDLE_REUSE_MS, connection.reuse_ms or IDLE_REUSE_MS)
            is_fresh = connection.idle_since_ms >= now_ms - reuse_ms
            if not connection.is_open or not is_fresh:
                self.idle.remove(connection)
                connection.close()
            elif echo is None or echo[1] not in connection.recent_echoes:
                self.idle.remove(connection)
                return connection
        return None

    def may_hold(self, number: int) -> bool:
        """Return whether responses may occupy what they do after ``number`` bytes."""
        if self.memory.held_bytes > self.settings.max_held_bytes:
            return False
        return self.memory.held_bytes <= FREE_BYTES or self.memory.has_room(number)

    def connection_idle(self, connection: _target_connection.TargetConnection) -> None:
        """Keep ``connection`` for reuse, unless the pool is full."""
        if len(self.idle) >= self.settings.idle_connections:
            self.statistics.idle_discarded += 1
            connection.close()
            return
        connection.idle_since_ms = self.clock.now_ms()
        self.idle.append(connection)

    def connection_closed(
        self, connection: _target_connection.TargetConnection
    ) -> None:
        """Remove a closed connection from the pool."""
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def deadline_passed(self, call: _target_call.TargetCall) -> None:
        """End a call at its deadline and close its connection."""
        connection = call.connection
        if connection is None:
            call.fail(codes.ResultCode.DEADLINE_SPENT)
            return
        if not connection.received_any:
            self.statistics.connections_silent += 1
            self.discard_idle_before(call)
        connection.fail(codes.ResultCode.DEADLINE_PASSED)

    def discard_idle_before(self, call: _target_call.TargetCall) -> None:
        """Close connections that have been idle since before ``call`` was sent.

        The cause that broke one connection may have broken the others too.
        """
        for idle in tuple(self.idle):
            if idle.idle_since_ms < call.sent_at_ms:
                self.statistics.idle_discarded += 1
                idle.close()

    def fail_calls(self) -> None:
        """End all calls that the target may be running, with an unknown outcome."""
        for connection in tuple(self.open):
            connection.fail(codes.ResultCode.TARGET_CLOSED_EARLY)

    def close(self) -> None:
        """Close all idle connections."""
        for connection in tuple(self.idle):
            connection.close()
