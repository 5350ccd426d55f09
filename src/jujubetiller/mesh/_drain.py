"""The graceful shutdown of a node."""

from collections.abc import Callable, Mapping

import logbook
from twisted.internet import defer, interfaces

from jujubetiller import edge, streams
from jujubetiller.mesh import _drain_times, _mesh_parts

_LOG = logbook.Logger("jujubetiller.mesh")

POLL_MS = 20.0

FLUSH_MS = 200.0
"""Minimum time to write the last bytes of answers."""

MAX_FLUSH_MS = 1_000.0


class Drain:
    """Notifies peers, waits for the requests in flight, and closes the node.

    Peers are notified late, because the target keeps running and is reachable only
    through this node.
    """

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        ports: dict[str, interfaces.IListeningPort],
        edges: Mapping[str, edge.EdgeFactory],
        on_close: Callable[[], None],
    ) -> None:
        self.parts = parts
        self.ports = ports
        self.edges = edges
        self.on_close = on_close
        """Called before the streams are closed."""

        self.finished: defer.Deferred[int] = defer.Deferred()
        self.started_at_ms = 0.0
        self.times = _drain_times.plan_drain(parts.settings.grace_ms)

    def start(self) -> None:
        """Report the node as draining, but accept clients' requests for a while."""
        _LOG.info("draining", extra={"in_flight": self.count_in_flight()})
        self.started_at_ms = self.parts.clock.now_ms()
        self.times = _drain_times.plan_drain(self.parts.settings.grace_ms)
        self.parts.state.draining = True
        self.parts.state.ends_at_ms = self.started_at_ms + self.times.end_ms
        self.poll()

    def count_in_flight(self) -> int:
        """Return the number of clients' requests and calls for the target in flight."""
        guard = self.parts.guard
        under_way = self.parts.state.requests_under_way
        return under_way + guard.in_flight + guard.queue_length

    def has_unsent_answers(self) -> bool:
        """Return whether a client or a peer has not taken all of an answer yet.

        A connection of a client is closed behind its last answer, so one that is still
        open waits for its client to read.
        """
        return bool(self.edges["egress"].channels) or (
            self.parts.pool.has_unsent_answers()
        )

    def poll(self) -> None:
        """Close the node once nothing is in flight or the grace period is over."""
        elapsed_ms = self.parts.clock.now_ms() - self.started_at_ms
        state = self.parts.state
        if elapsed_ms >= self.times.refuse_peers_ms and not state.refuses_peers:
            state.refuses_peers = True
            self.parts.pool.announce_draining()
        if elapsed_ms >= self.times.refuse_clients_ms and not state.refuses_clients:
            state.refuses_clients = True
            self.stop_listening()
        in_flight = self.count_in_flight()
        is_overdue = elapsed_ms >= self.times.end_ms
        is_done = in_flight == 0 and state.refuses_clients
        if is_overdue or (is_done and not self.has_unsent_answers()):
            self.close(in_flight)
        else:
            self.parts.reactor.callLater(POLL_MS / 1000.0, self.poll)

    def stop_listening(self) -> None:
        """Stop accepting client connections and close those without a request."""
        self.ports["egress"].stopListening()
        self.edges["egress"].close_unused()

    def close(self, left_over: int) -> None:
        """Close the streams and report requests and calls that did not finish.

        What the streams still hold is written within ``MAX_FLUSH_MS``, and within the
        rest of the grace period.
        """
        if left_over:
            self.parts.metrics.count_drain_leftovers(left_over)
            _LOG.warning("drain time is over", extra={"in_flight": left_over})
            # Callers get an answer that promises nothing, not a closed connection.
            self.parts.target.fail_calls()
        self.parts.target.close()
        self.on_close()
        elapsed_ms = self.parts.clock.now_ms() - self.started_at_ms
        left_ms = max(FLUSH_MS, min(MAX_FLUSH_MS, self.times.end_ms - elapsed_ms))
        closing = streams.close_within(self.parts.reactor, self.parts.pool, left_ms)
        closing.addCallback(
            lambda _: self.finish(left_over, self.parts.clock.now_ms() + FLUSH_MS)
        )

    def finish(self, left_over: int, latest_ms: float) -> None:
        """Finish once the answers to clients are written, or at ``latest_ms``."""
        if self.edges["egress"].channels and self.parts.clock.now_ms() < latest_ms:
            self.parts.reactor.callLater(
                POLL_MS / 1000.0, self.finish, left_over, latest_ms
            )
            return
        _LOG.info("stopped", extra={"in_flight": left_over})
        self.finished.callback(left_over)
