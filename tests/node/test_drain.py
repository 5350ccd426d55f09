"""Guards against a drain that cuts off an answer or never ends.

That would break promise P7 of docs/design.md.
"""

from typing import Any

import attrs
from twisted.internet import defer

from jujubetiller import edge
from jujubetiller.node import _drain
from tests.edge import recording
from tests.node import local_node


@attrs.define
class ClosingPool:
    """A pool whose last stream is still writing an answer."""

    closed: defer.Deferred[None] = attrs.field(factory=defer.Deferred)
    aborted_at: list[float] = attrs.field(factory=list)
    reactor: Any = None

    def announce_draining(self) -> None:
        pass

    def close(self) -> defer.Deferred[None]:
        return self.closed

    def abort(self) -> defer.Deferred[None]:
        self.aborted_at.append(self.reactor.seconds())
        if not self.closed.called:
            self.closed.callback(None)
        return self.closed


class NoOpPart:
    """Replaces components of which the drain only calls methods without a result."""

    def __getattr__(self, name: str) -> Any:
        return lambda *arguments: None


def start_drain(
    node: local_node.LocalNode, edges: Any = None
) -> tuple[_drain.Drain, ClosingPool]:
    pool = ClosingPool(reactor=node.reactor)
    no_op: Any = NoOpPart()
    node.parts.pool = pool  # type: ignore[assignment]
    node.parts.target = no_op
    drain = _drain.Drain(node.parts, {"edge": no_op}, edges or {}, no_op, no_op)
    drain.start()
    return drain, pool


def test_a_drain_waits_for_calls_and_then_for_their_answers_to_be_written() -> None:
    """Guards against streams that are aborted while a peer is reading an answer."""
    node = local_node.LocalNode()
    node.receive_call("balance")
    request = node.target.requests[0]
    drain, pool = start_drain(node)
    node.reactor.pump([0.02] * 100)
    request.answer()
    node.reactor.pump([0.02] * 400)
    assert not drain.finished.called and not pool.aborted_at
    pool.closed.callback(None)
    assert drain.finished.result == 0
    node.reactor.pump([0.5] * 80)
    assert not pool.aborted_at


def test_a_drain_ends_after_the_drain_time() -> None:
    """Guards against a drain that waits forever, for a call or for a stream."""
    for is_stuck, left_over in ((True, 1), (False, 0)):
        node = local_node.LocalNode()
        if is_stuck:
            node.receive_call("balance")
        drain_s = node.parts.settings.control.drain_ms / 1000.0
        drain, pool = start_drain(node)
        node.reactor.pump([0.02] * int(drain_s / 0.02 - 10))
        assert not drain.finished.called
        node.reactor.pump([0.02] * 100)
        assert drain.finished.result == left_over
        assert len(pool.aborted_at) == 1


def test_a_drain_waits_for_callers_that_read_slowly() -> None:
    """Guards against answers that are cut off while their callers read them."""
    node = local_node.LocalNode()
    listener = recording.Listener(factory_class=edge.EdgeFactory)
    idle, reading = listener.connect(), listener.connect()
    reading.request()
    drain, pool = start_drain(node, {"edge": listener.factory})
    node.reactor.pump([0.02] * 100)
    assert idle.transport.disconnecting
    assert not reading.transport.disconnecting
    idle.disconnect()
    pool.closed.callback(None)
    node.reactor.pump([0.02] * 400)
    assert not drain.finished.called
    reading.disconnect()
    node.reactor.pump([0.02] * 2)
    assert drain.finished.result == 0
