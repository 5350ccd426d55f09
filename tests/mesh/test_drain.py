"""Guards against a graceful shutdown that cancels requests in flight."""

from typing import Any

import attrs
import pytest
from twisted.internet import defer

from jujubetiller import codes
from jujubetiller.mesh import _drain, _status_sites
from tests.mesh import local_mesh


@attrs.define
class FakePort:
    """A listening port."""

    is_open: bool = True

    def stopListening(self) -> None:
        self.is_open = False


@attrs.define(eq=False)
class FakeChannel:
    """A connection of a client."""

    requests: list[Any] = attrs.field(factory=list)
    closed: bool = False

    def loseConnection(self) -> None:
        self.closed = True


class DrainingNode:
    """A node that shuts down, with fake ports and client connections."""

    def __init__(self) -> None:
        self.mesh = local_mesh.LocalMesh()
        self.announced = self.aborted = 0
        self.peers_read = False
        self.pool_closed: defer.Deferred[None] = defer.Deferred()
        pool: Any = self.mesh.pool
        self.mesh.parts.pool = self  # type: ignore[assignment]
        self.send_call = pool.send_call
        self.port = FakePort()
        self.idle, self.busy = FakeChannel(), FakeChannel([1])
        edges: Any = {"egress": self}
        self.channels = {self.idle, self.busy}
        self.drain = _drain.Drain(
            self.mesh.parts,
            {"egress": self.port},  # type: ignore[dict-item]
            edges,
            self.mesh.node.stop_reading,
        )
        self.left_over: list[int] = []
        self.drain.finished.addCallback(self.left_over.append)

    def close_unused(self) -> None:
        for channel in self.channels:
            if not channel.requests:
                channel.loseConnection()

    def has_unsent_answers(self) -> bool:
        return self.peers_read

    def announce_draining(self) -> None:
        self.announced += 1

    def close(self) -> defer.Deferred[None]:
        return self.pool_closed

    def abort(self) -> None:
        self.aborted += 1
        if not self.pool_closed.called:
            self.pool_closed.callback(None)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds * 50)):
            self.mesh.reactor.advance(0.02)


def test_a_stop_notifies_the_platform_at_once_and_peers_later() -> None:
    """Guards against a running target that no node can reach for seconds."""
    node = DrainingNode()
    assert _status_sites.make_readiness(node.mesh.parts).status == 200
    node.drain.start()
    assert _status_sites.make_readiness(node.mesh.parts).status == 503
    node.advance(2.1)
    assert node.announced == 0
    assert not node.mesh.node.describe_self().draining
    node.advance(0.2)
    assert node.announced == 1
    assert node.mesh.node.describe_self().draining


def test_requests_are_accepted_until_clients_have_detected_the_stop() -> None:
    node = DrainingNode()
    node.drain.start()
    node.advance(2.7)
    assert node.port.is_open
    node.mesh.send_request("/book/1")
    node.mesh.answer_call()
    assert node.mesh.replies[-1].status == 200
    node.advance(0.3)
    assert not node.port.is_open
    assert node.idle.closed
    assert not node.busy.closed


def test_the_process_waits_for_requests_in_flight() -> None:
    """Guards against a request that gets no answer because of a stop.

    That would break rule LOST of docs/platform.md.
    """
    node = DrainingNode()
    node.mesh.send_request("/book/1")
    node.drain.start()
    node.advance(4.0)
    assert node.left_over == []
    node.mesh.answer_call()
    node.pool_closed.callback(None)
    node.channels.clear()
    node.advance(0.1)
    assert node.left_over == [0]


def test_the_process_ends_before_it_is_killed() -> None:
    node = DrainingNode()
    node.mesh.send_request("/book/1")
    node.drain.start()
    node.advance(5.99)
    assert node.left_over == [1]
    assert node.aborted == 1


LATE_CASES = [
    ("at once", 0.1, 800, 200.0, True),
    ("before clients have detected the stop", 2.7, 800, 200.0, True),
    ("too long for what is left", 2.7, 800, 1_000.0, False),
    ("on a kept connection", 4.0, 800, 200.0, True),
    ("with a deadline at the end", 4.8, 590, 200.0, True),
    ("with a deadline after the end", 4.8, 610, 200.0, False),
    ("usually short, with a deadline after the end", 4.8, 800, 10.0, False),
    ("of unknown duration, with a deadline before the end", 4.8, 300, None, True),
    ("of unknown duration, with a deadline after the end", 4.8, 800, None, False),
]


@pytest.mark.parametrize("path", ["/book/1", "/read/1"])
@pytest.mark.parametrize(
    ("case", "at_s", "deadline_ms", "usual_ms", "is_accepted"), LATE_CASES
)
def test_a_request_that_cannot_end_before_the_stop_is_refused_at_once(
    case: str,
    at_s: float,
    deadline_ms: int,
    usual_ms: float | None,
    is_accepted: bool,
    path: str,
) -> None:
    """Guards against a request that is passed on and cut at the end of the grace."""
    node = DrainingNode()
    parts: Any = node.mesh.parts
    parts.router.average_ms = lambda service, kind: usual_ms
    node.drain.start()
    node.advance(at_s)
    node.mesh.send_request(path, deadline_ms=str(deadline_ms))
    passed_on = len(node.mesh.pool.calls) + len(node.mesh.target.requests)
    assert passed_on == is_accepted, case
    assert [reply.status for reply in node.mesh.replies] == [503] * (not is_accepted)
    for reply in node.mesh.replies:
        assert "Retry-After" in dict(reply.headers)
        assert b"DRAINING" in reply.body


@pytest.mark.parametrize(("run_ms", "is_accepted"), [(200.0, True), (2_000.0, False)])
def test_a_call_of_a_peer_that_cannot_end_before_the_stop_is_refused(
    run_ms: float, is_accepted: bool
) -> None:
    node = DrainingNode()
    node.mesh.parts.guard.mean_run_ms = run_ms
    node.drain.start()
    node.advance(2.1)
    node.mesh.receive_call()
    assert len(node.mesh.target.requests) == is_accepted
    codes_ = [answer.code for answer in node.mesh.answers]
    assert codes_ == [codes.ResultCode.DRAINING] * (not is_accepted)


def test_a_request_at_work_at_the_end_of_the_grace_is_answered() -> None:
    """Guards against a closed connection in place of an answer."""
    node = DrainingNode()
    parts: Any = node.mesh.parts
    parts.configuration.choose_service = lambda route: "ledger"
    node.mesh.send_request("/book/1")
    assert len(node.mesh.target.requests) == 1
    node.drain.start()
    node.advance(5.5)
    assert [reply.status for reply in node.mesh.replies] == [502]


def test_the_times_of_a_stop_follow_the_grace_of_the_settings() -> None:
    """Guards against a node that listens until it is killed."""
    node = DrainingNode()
    node.mesh.parts.settings = attrs.evolve(node.mesh.parts.settings, grace_ms=2_000)
    node.drain.start()
    node.advance(0.9)
    assert node.announced == 1
    assert node.port.is_open
    node.advance(0.2)
    assert not node.port.is_open


def stop_with_grace(grace_ms: int) -> DrainingNode:
    """Return a node whose requests are usually short, at the start of its stop."""
    node = DrainingNode()
    parts: Any = node.mesh.parts
    parts.settings = attrs.evolve(parts.settings, grace_ms=grace_ms)
    parts.router.average_ms = lambda service, kind: 200.0
    parts.guard.mean_run_ms = 200.0
    node.drain.start()
    return node


def test_a_long_grace_period_takes_no_late_requests_that_may_outlast_it() -> None:
    """Guards against requests that come seconds after the stop and are cut at its end.

    Clients detect the stop within 3 s, however long the grace period is. Of those that
    come later, some take far longer than usual.
    """
    node = stop_with_grace(10_000)
    node.advance(4.5)
    node.mesh.send_request("/read/1", deadline_ms="12000")
    assert [reply.status for reply in node.mesh.replies] == [503]
    assert not node.port.is_open


def test_a_long_grace_period_is_used_for_the_requests_in_flight() -> None:
    """Guards against cutting a request at which a target works for 9.3 of 10 s."""
    node = stop_with_grace(10_000)
    node.advance(2.5)
    node.mesh.send_request("/book/1", deadline_ms="12000")
    node.advance(6.8)
    assert node.aborted == 0
    assert node.left_over == []
    node.advance(0.6)
    assert node.left_over == [1]


@pytest.mark.parametrize(("deadline_ms", "is_run"), [(6_500.0, True), (7_500.0, False)])
def test_a_call_that_crosses_the_notice_to_peers_may_not_outlast_the_stop(
    deadline_ms: float, is_run: bool
) -> None:
    """Guards against a call that arrives after the notice and is cut at the end."""
    node = stop_with_grace(10_000)
    node.advance(2.5)
    node.mesh.receive_call(deadline_left_ms=deadline_ms)
    assert len(node.mesh.target.requests) == is_run
    codes_ = [answer.code for answer in node.mesh.answers]
    assert codes_ == [codes.ResultCode.DRAINING] * (not is_run)


def test_a_client_that_reads_slowly_has_until_the_end_of_the_stop() -> None:
    """Guards against an answer that is cut off although the grace period is not over.

    The request has ended, but its connection holds what the client has not read.
    """
    node = DrainingNode()
    node.mesh.send_request("/book/1")
    node.drain.start()
    node.mesh.answer_call()
    node.busy.requests.clear()
    node.advance(5.2)
    assert (node.left_over, node.aborted) == ([], 0)
    node.channels.clear()
    node.advance(0.1)
    node.pool_closed.callback(None)
    assert node.left_over == [0]


def test_a_peer_that_reads_slowly_has_until_the_end_of_the_stop() -> None:
    node = DrainingNode()
    node.channels.clear()
    node.peers_read = True
    node.drain.start()
    node.advance(5.2)
    assert (node.left_over, node.aborted) == ([], 0)
    node.peers_read = False
    node.advance(0.1)
    node.pool_closed.callback(None)
    assert node.left_over == [0]


def test_a_client_that_does_not_read_delays_no_stop_beyond_the_grace_period() -> None:
    node = DrainingNode()
    node.drain.start()
    node.advance(5.99)
    assert node.left_over == [0]
