"""Guards against a graceful shutdown that cancels requests in flight."""

from typing import Any

import attrs
from twisted.internet import defer

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
        )
        self.left_over: list[int] = []
        self.drain.finished.addCallback(self.left_over.append)

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
    node.advance(2.3)
    assert node.announced == 0
    assert not node.mesh.node.describe_self().draining
    node.advance(0.2)
    assert node.announced == 1
    assert node.mesh.node.describe_self().draining


def test_requests_are_accepted_until_clients_have_detected_the_stop() -> None:
    node = DrainingNode()
    node.drain.start()
    node.advance(2.9)
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
