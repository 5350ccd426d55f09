"""Graceful shutdown of a node."""

import logbook
from twisted.internet import defer, interfaces

from jujubetiller import edge, streams
from jujubetiller.node import _control_loop, _node_parts, _platform_reading

_LOG = logbook.Logger("jujubetiller.node")

GRACE_MS = 1_000.0
"""The guard still accepts calls for this long after the announcement, because
peers may have sent them before they received it."""

POLL_MS = 20.0


class Drain:
    """Announces the shutdown, waits for the calls in flight and closes the node."""

    def __init__(
        self,
        parts: _node_parts.NodeParts,
        ports: dict[str, interfaces.IListeningPort],
        edges: dict[str, edge.EdgeFactory],
        control_loop: _control_loop.ControlLoop,
        platform_reading: _platform_reading.PlatformReading,
    ) -> None:
        self.parts = parts
        self.ports = ports
        self.edges = edges
        self.control_loop = control_loop
        self.platform_reading = platform_reading
        self.finished: defer.Deferred[int] = defer.Deferred()
        self.started_at_ms = 0.0

    def start(self) -> None:
        """Announce the shutdown and stop accepting client connections."""
        _LOG.info("draining: {} calls in flight", self.count_in_flight())
        self.started_at_ms = self.parts.clock.now_ms()
        self.parts.state.draining = True
        self.platform_reading.stop()
        self.control_loop.announce_draining()
        self.parts.pool.announce_draining()
        self.ports["edge"].stopListening()
        self.poll()

    def count_in_flight(self) -> int:
        """Return the number of calls in flight.

        These are requests and nested calls that entered at this node, and calls
        at the target or in its queue.
        """
        guard = self.parts.guard
        return self.parts.state.calls_under_way + guard.in_flight + guard.queue_length

    def has_unsent_answers(self) -> bool:
        """Return whether a connection of a caller is still open.

        It is closed behind its last answer, so it waits for the caller to read.
        """
        return any(factory.channels for factory in self.edges.values())

    def poll(self) -> None:
        """Close the node once no call is in flight or the drain time is over."""
        elapsed_ms = self.parts.clock.now_ms() - self.started_at_ms
        if elapsed_ms >= GRACE_MS and not self.parts.guard.draining:
            self.parts.guard.drain()
            for factory in self.edges.values():
                factory.close_unused()
        in_flight = self.count_in_flight()
        is_overdue = elapsed_ms >= self.parts.settings.control.drain_ms
        is_done = in_flight == 0 and elapsed_ms >= GRACE_MS
        if is_overdue or (is_done and not self.has_unsent_answers()):
            self.close(in_flight)
        else:
            self.parts.reactor.callLater(POLL_MS / 1000.0, self.poll)

    def close(self, left_over: int) -> None:
        """Close the node and report the number of unfinished calls."""
        if left_over:
            self.parts.metrics.count_drain_leftovers(left_over)
            _LOG.warning("drain time is over with {} calls in flight", left_over)
        self.control_loop.stop()
        self.parts.target.close()
        elapsed_ms = self.parts.clock.now_ms() - self.started_at_ms
        # Peers may still be reading long answers: wait for the rest of the drain
        # time, but at least for the grace period.
        left_ms = max(GRACE_MS, self.parts.settings.control.drain_ms - elapsed_ms)
        closing = streams.close_within(self.parts.reactor, self.parts.pool, left_ms)
        closing.addCallback(lambda _: self.finished.callback(left_over))
