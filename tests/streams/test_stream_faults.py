"""Guards against a fault of one stream or peer that fails other calls.

The faults are lost and silent connections, invalid frames, missing handshakes, large
bodies, and peers that grant no credit or exceed theirs.
"""

import struct

import attrs
import pytest
from twisted.internet import protocol

from jujubetiller import frames
from tests.streams import memory_network, nodes


@pytest.mark.parametrize("cut", ["request", "answer"])
def test_a_connection_lost_within_a_body_ends_the_call_as_lost(
    cut: str,
) -> None:
    reactor, caller, server = nodes.connect_pair()
    server.handler.answer = lambda request: nodes.answer_with(bytes(200_000))
    caller.call("a", body=bytes(200_000) if cut == "request" else b"")
    near, far = reactor.links[0]
    near.deliver()
    if cut == "answer":
        far.deliver()
        assert caller.pool.context.partial_bodies.reserved_bytes == 200_000
    near.abortConnection()
    reactor.run_until_idle()
    assert caller.codes() == [("a", "STREAM_LOST")]
    assert len(server.handler.requests) == (cut == "answer")
    for node in (caller, server):
        assert node.pool.context.partial_bodies.reserved_bytes == 0


def test_a_call_still_queued_when_the_stream_is_lost_is_not_run() -> None:
    reactor, caller, server = nodes.connect_pair()
    near, _ = reactor.links[0]
    near.is_held = True
    caller.call("written", body=bytes(200_000))
    caller.call("kept back")
    near.abortConnection()
    reactor.run_until_idle()
    assert caller.codes() == [("kept back", "UNDELIVERED"), ("written", "UNDELIVERED")]
    assert server.handler.requests == []


def hold(link: tuple[memory_network.MemoryTransport, ...], held: bool = True) -> None:
    for end in link:
        end.is_held = held


@pytest.mark.parametrize("is_on", [True, False], ids=["detection on", "off"])
def test_a_silent_stream_is_replaced_while_new_connections_work(is_on: bool) -> None:
    off = {} if is_on else {"heartbeat_ms": 60_000, "silent_after_ms": 120_000}
    reactor, caller, server = nodes.connect_pair(**off)
    hold(reactor.links[0])
    caller.call("silent", 20_000)
    reactor.pass_time(1_200)
    assert len(reactor.links) == (2 if is_on else 1)
    server.handler.answer = lambda request: nodes.answer_with(b"")
    caller.call("new", 20_000)
    reactor.pass_time(10)
    assert caller.codes() == ([("new", "ANSWERED")] if is_on else [])
    reactor.pass_time(490)
    assert caller.codes()[1:] == ([("silent", "UNDELIVERED")] if is_on else [])
    hold(reactor.links[0], held=False)
    reactor.run_until_idle()
    if is_on:
        assert ("lost: silent", "server") in caller.handler.events
        assert len(caller.answers) == 2
        assert len(server.handler.requests) == 1  # only the new call


def test_new_calls_to_a_silent_unreachable_peer_are_not_run() -> None:
    reactor, caller, _ = nodes.connect_pair()
    hold(reactor.links[0])
    reactor.black_holes.add((nodes.ADDRESS.host, nodes.ADDRESS.port))
    caller.call("silent", 20_000)
    reactor.pass_time(1_100)
    assert caller.pool.is_suspect(nodes.ADDRESS)
    caller.call("new", 20_000)
    reactor.pass_time(600)
    assert caller.codes() == [("new", "PEER_UNREACHABLE"), ("silent", "STREAM_LOST")]
    reactor.black_holes.clear()
    reactor.pass_time(600)
    caller.call("recovered", 20_000)
    reactor.pass_time(10)
    assert len(reactor.links) == 2
    assert not caller.pool.is_suspect(nodes.ADDRESS)


def test_a_stream_that_was_only_slow_keeps_its_calls() -> None:
    reactor, caller, server = nodes.connect_pair()
    hold(reactor.links[0])
    caller.call("slow", 20_000)
    reactor.pass_time(1_200)
    hold(reactor.links[0], held=False)
    reactor.pass_time(5_000)
    server.handler.replies[0](nodes.answer_with(b""))
    reactor.run_until_idle()
    assert caller.codes() == [("slow", "ANSWERED")]
    assert [near.is_lost for near, _ in reactor.links] == [True, False]


def test_heartbeats_keep_a_stream_with_a_long_call() -> None:
    reactor, caller, server = nodes.connect_pair()
    caller.call("long", 20_000)
    reactor.pass_time(10_000)
    server.handler.replies[0](nodes.answer_with(b""))
    reactor.run_until_idle()
    assert caller.codes() == [("long", "ANSWERED")]
    assert len(reactor.links) == 1


BAD_BYTES = {
    "oversized": struct.pack(">I", 65_537),
    "garbage": struct.pack(">I", 3) + b"\xc1\xc1\xc1",
    "wrong direction": b"\x00\x00\x00\x03\x92\x05\x07",  # CANCEL from the server
}


@pytest.mark.parametrize("name", BAD_BYTES)
def test_a_bad_frame_closes_its_stream_and_no_other(name: str) -> None:
    reactor, caller, server = nodes.connect_pair()
    other = nodes.Node(reactor, "other", nodes.OTHER_ADDRESS)
    for node in (caller, other):
        node.call("a")
    reactor.run_until_idle()
    reactor.links[0][0].protocol.dataReceived(BAD_BYTES[name])
    reactor.run_until_idle()
    assert caller.codes() == [("a", "STREAM_LOST")]
    assert caller.pool.statistics().refusals["bad_frame"] == 1
    assert ("lost: bad_frame", "server") in caller.handler.events
    assert any("goaway" in event for event, _ in server.handler.events)
    server.handler.answer = lambda request: nodes.answer_with(b"")
    caller.call("b")
    server.handler.replies[1](nodes.answer_with(b""))
    reactor.run_until_idle()
    assert caller.codes()[1:] == [("b", "ANSWERED")]
    assert other.codes() == [("a", "ANSWERED")]


class ScriptedPeer(protocol.Protocol):
    """Sends the raw bytes ``greeting`` and records the received bytes."""

    greeting = b""

    def connectionMade(self) -> None:
        """Send the greeting."""
        self.received = b""
        if self.greeting and self.transport is not None:
            self.transport.write(self.greeting)

    def dataReceived(self, data: bytes) -> None:
        """Record the bytes."""
        self.received += data


@pytest.mark.parametrize(
    ("greeting", "reason"),
    [
        (b"\x00\x00\x00\x04\x93\x01\x04\x09", "bad_version"),
        (b"\x00\x00\x00\x03\x92\x07\x01", "stream_connect_timeout"),
        (b"HTTP/1.1 400 Bad Request\r\n", "bad_frame"),
        (b"", "stream_connect_timeout"),
    ],
)
def test_without_a_handshake_nothing_is_sent(greeting: bytes, reason: str) -> None:
    reactor, caller, _ = nodes.make_pair()
    factory = protocol.Factory.forProtocol(ScriptedPeer)
    ScriptedPeer.greeting = greeting
    reactor.listeners[nodes.ADDRESS.host, nodes.ADDRESS.port] = factory
    caller.call("a", 5_000)
    reactor.pass_time(600)
    assert caller.codes() == [("a", "PEER_UNREACHABLE")]
    assert caller.pool.statistics().refusals[reason] == 1
    received = frames.FrameDecoder(65_536).feed(reactor.links[0][1].protocol.received)
    kinds = [type(frame) for frame in received[0]]
    assert kinds[0] is frames.Hello
    assert frames.Call not in kinds
    if reason.startswith("bad"):
        assert kinds == [frames.Hello, frames.Goaway]
    assert reactor.links[0][0].is_lost


@pytest.mark.parametrize(
    ("part_bytes", "first"), [(16_384, "small"), (1_048_576, "large")]
)
def test_small_calls_beside_a_large_body_finish_first(
    part_bytes: int, first: str
) -> None:
    # With parts as large as the body, nothing is interleaved.
    reactor, caller, server = nodes.connect_pair(
        data_frame_bytes=part_bytes, max_frame_bytes=1_048_576
    )
    for node in (caller, server):
        node.handler.answer = lambda request: nodes.answer_with(request.body)
    caller.call("large", body=bytes(1_000_000))
    caller.call("medium", body=bytes(100_000))
    caller.call("small")
    reactor.run_until_idle()
    order = ["small", "medium", "large"]
    assert [mark for mark, _ in caller.answers] == (
        order if first == "small" else ["large", "medium", "small"]
    )


def test_a_sender_without_credit_stops_and_blocks_no_other_call() -> None:
    reactor, caller, server = nodes.connect_pair(call_window_bytes=65_536)
    near, _ = reactor.links[0]
    near.protocol.frame_handlers[frames.Credit] = lambda frame: None
    server.handler.answer = lambda request: nodes.answer_with(b"")
    before = len(near.written)
    caller.call("large", body=bytes(1_000_000))
    reactor.run_until_idle()
    assert 65_536 <= len(near.written) - before <= 65_536 + 2_000
    caller.call("small")
    reactor.run_until_idle()
    assert caller.codes() == [("small", "ANSWERED")]


def test_a_sender_that_ignores_the_window_is_refused() -> None:
    reactor, _, server = nodes.connect_pair(
        call_window_bytes=65_536, max_frame_bytes=1_048_576
    )
    call = frames.Call(2, nodes.REQUEST, 1_000_000, 0, body_inside=False)
    call.request = attrs.evolve(nodes.REQUEST, body=b"")
    nodes.inject(reactor.links[0][1], call)
    nodes.inject(reactor.links[0][1], frames.Data(2, bytes(65_537)))
    reactor.run_until_idle()
    assert server.handler.requests == []
    assert server.pool.statistics().refusals["request_body_incomplete"] == 1
    assert server.pool.context.partial_bodies.reserved_bytes == 0
