"""Guards against calls lost while a node drains or closes, and against exceeded limits.

Also covers seal requests, control messages and the timers of unused streams.
"""

from typing import Any

import attrs
import pytest

from jujubetiller import codes, frames, settings
from tests.streams import memory_network, nodes


def test_a_draining_peer_finishes_its_calls_and_gets_no_new_ones() -> None:
    reactor, caller, server = nodes.connect_pair()
    caller.call("running")
    reactor.run_until_idle()
    server.identity = attrs.evolve(server.identity, draining=True)
    server.pool.announce_draining()
    reactor.run_until_idle()
    assert caller.handler.events[-1] == ("draining", "server")
    peer = caller.pool.identity_of(nodes.ADDRESS)
    assert peer is not None
    assert peer.draining
    caller.call("new")
    reactor.run_until_idle()
    server.handler.replies[0](nodes.answer_with(b""))
    reactor.run_until_idle()
    assert caller.codes() == [("new", "DRAINING"), ("running", "ANSWERED")]
    assert caller.answers[0][1].outcome is codes.Outcome.NOT_RUN


def test_a_call_sent_before_the_drain_notice_is_received_is_still_handled() -> None:
    reactor, caller, server = nodes.connect_pair()
    reactor.links[0][1].is_held = True
    server.pool.announce_draining()
    caller.call("crossing")
    reactor.run_until_idle()
    server.handler.replies[0](nodes.answer_with(b""))
    reactor.links[0][1].is_held = False
    reactor.run_until_idle()
    assert caller.codes() == [("crossing", "ANSWERED")]


def test_close_waits_for_calls_in_both_directions() -> None:
    reactor, caller, server = nodes.connect_pair()
    back = settings.Address("127.0.0.1", 4_003)
    caller.pool.listen(back)
    caller.call("in")
    reactor.run_until_idle()
    closed: list[Any] = []
    server.pool.close().addCallback(closed.append)
    reactor.pass_time(500)
    caller.call("too late")
    reactor.run_until_idle()
    assert closed == []
    server.handler.replies[0](nodes.answer_with(bytes(500_000)))
    reactor.pass_time(50)
    assert closed == [None]
    assert caller.codes() == [("too late", "DRAINING"), ("in", "ANSWERED")]
    assert ("lost: retired", "server") in caller.handler.events
    assert ("lost: unused", "caller") in server.handler.events
    caller.call("after")
    reactor.run_until_idle()
    assert caller.codes()[2:] == [("after", "PEER_UNREACHABLE")]
    assert [node.pool.statistics().streams_open for node in (caller, server)] == [0, 0]


def test_close_of_the_caller_waits_for_its_answers() -> None:
    reactor, caller, server = nodes.connect_pair()
    caller.call("running")
    reactor.run_until_idle()
    closed: list[Any] = []
    caller.pool.close().addCallback(closed.append)
    caller.call("new")
    reactor.run_until_idle()
    assert caller.codes() == [("new", "DRAINING")]
    server.handler.replies[0](nodes.answer_with(b""))
    reactor.pass_time(50)
    assert caller.codes()[1:] == [("running", "ANSWERED")]
    assert closed == [None]
    server.pool.abort()
    reactor.run_until_idle()
    assert reactor.getDelayedCalls() == []


def test_close_ends_even_if_a_peer_does_not_close_its_stream() -> None:
    reactor, caller, server = nodes.connect_pair()
    near, _ = reactor.links[0]
    near.protocol.frame_handlers[frames.Goaway] = lambda frame: None
    closed: list[Any] = []
    server.pool.close().addCallback(closed.append)
    reactor.pass_time(1_400)
    assert closed == []
    reactor.pass_time(200)
    assert closed == [None]


@pytest.mark.parametrize(
    ("limits", "request_size", "answer_size", "code", "reason", "runs"),
    [
        ({"max_calls": 1}, 1, 1, "TOO_MANY_CALLS", "too_many_calls", 1),
        ({"max_body_bytes": 1_024}, 1_025, 1, "BODY_TOO_LARGE", "body_too_large", 0),
        ({"max_body_bytes": 1_024}, 1, 1_025, "ANSWER_TOO_LARGE", "", 2),
        ({"max_partial_body_bytes": 30_000}, 30_001, 1, "TOO_MANY_CALLS", "", 0),
        ({"max_partial_body_bytes": 30_000}, 1, 30_001, "ANSWER_TOO_LARGE", "", 2),
        ({"max_frame_bytes": 4_096}, 5_000, 5_000, "ANSWERED", "", 2),
    ],
)
def test_a_call_that_exceeds_a_limit_is_refused(
    limits: dict[str, int],
    request_size: int,
    answer_size: int,
    code: str,
    reason: str,
    runs: int,
) -> None:
    reactor, caller, server = nodes.connect_pair(**limits)
    caller.call("first", body=bytes(request_size))
    caller.call("second", body=bytes(request_size))
    reactor.run_until_idle()
    for reply in server.handler.replies:
        reply(nodes.answer_with(bytes(answer_size)))
    reactor.run_until_idle()
    assert ("second", code) in caller.codes()
    assert len(server.handler.requests) == runs
    if reason:
        assert caller.pool.statistics().refusals[reason] >= 1


def test_a_call_that_cannot_be_encoded_is_refused_alone() -> None:
    reactor, caller, server = nodes.connect_pair()
    server.handler.answer = lambda request: nodes.answer_with(b"")
    caller.call("good")
    caller.call("bad", path="/" + "x" * 40_000)
    caller.call("headers", headers=(("x", "y" * 70_000),))
    reactor.run_until_idle()
    assert sorted(caller.codes()) == [
        ("bad", "BAD_REQUEST"),
        ("good", "ANSWERED"),
        ("headers", "BAD_REQUEST"),
    ]


def test_unsent_bytes_for_a_peer_that_does_not_read_are_limited() -> None:
    reactor, caller, server = nodes.connect_pair(max_unsent_bytes=20_000)
    near, far = reactor.links[0]
    for mark in range(30):
        caller.call(mark)
    reactor.run_until_idle()
    far.is_held = True
    for reply in server.handler.replies:
        reply(nodes.answer_with(bytes(10_000)))
    reactor.run_until_idle()
    assert near.is_lost
    assert {code for _, code in caller.codes()} == {"STREAM_LOST"}
    server.handler.answer = lambda request: nodes.answer_with(b"")
    caller.call("new")
    reactor.run_until_idle()
    reactor.links[1][0].is_held = True
    caller.answers.clear()
    for mark in range(30):
        caller.call(mark, body=bytes(10_000))
    reactor.run_until_idle()
    refused = [mark for mark, code in caller.codes() if code == "TOO_MANY_CALLS"]
    assert refused == list(range(9, 30))
    assert caller.pool.statistics().refusals["unsent_bytes"] == len(refused)


def test_an_unused_stream_is_closed_to_open_another_at_the_limit() -> None:
    reactor, caller, first = nodes.connect_pair(max_streams=1)
    address = settings.Address("127.0.0.1", 4_003)
    second = nodes.Node(reactor, "second", address, max_streams=1)
    second.pool.listen(address)
    caller.call("busy")
    caller.pool.send_seal(address, "key", 100, lambda confirmed: None)
    reactor.run_until_idle()
    assert caller.pool.statistics().refusals["seal_too_many_streams"] == 1
    first.handler.replies[0](nodes.answer_with(b""))
    reactor.run_until_idle()
    caller.pool.send_seal(address, "key", 100, lambda confirmed: None)
    reactor.run_until_idle()
    assert second.handler.seals == ["key"]
    assert ("lost: replaced", "server") in caller.handler.events
    third = nodes.Node(reactor, "third")
    for node, name in ((third, "third"), (caller, "caller")):
        node.call(name)
        reactor.run_until_idle()
    assert caller.codes()[1:] == [("caller", "PEER_UNREACHABLE")]
    assert first.pool.statistics().refusals["too_many_streams"] == 1


@pytest.mark.parametrize(
    ("key", "fault", "confirmed"),
    [
        ("key", "", True),
        ("bad", "", False),
        ("key", "silent", False),
        ("key", "cut", False),
        ("key", "refused", False),
    ],
)
def test_a_key_counts_as_sealed_only_if_its_owner_confirms(
    key: str, fault: str, confirmed: bool
) -> None:
    reactor, caller, server = nodes.connect_pair()
    near, _ = reactor.links[0]
    near.is_held = fault == "silent"
    if fault == "refused":
        reactor.listeners.clear()
        near.abortConnection()
    results: list[bool] = []
    caller.pool.send_seal(nodes.ADDRESS, key, 300, results.append)
    if fault == "cut":
        near.abortConnection()
    reactor.pass_time(320)
    near.is_held = False
    reactor.run_until_idle()
    assert results == [confirmed]


def test_control_messages_and_replies_reach_the_handlers() -> None:
    reactor, caller, server = nodes.make_pair()
    digest = frames.Digest(b"t" * 16, b"m" * 16, 5.0, 7)
    pull = frames.Pull("tickets", b"index")
    server.handler.control_reply = pull
    caller.pool.send_control(nodes.ADDRESS, digest)
    caller.pool.send_control(nodes.ADDRESS, frames.Push("big", bytes(70_000)))
    reactor.run_until_idle()
    assert server.handler.messages == [("caller", digest)]
    assert caller.handler.messages == [("server", pull)]
    counters = caller.pool.statistics()
    assert counters.refusals["control_too_large"] == 1
    assert (
        counters.control_bytes_out
        == counters.bytes_out
        == len(reactor.links[0][0].written)
    )
    assert counters.control_bytes_in == len(reactor.links[0][1].written)


def test_peers_receive_a_new_key_epoch() -> None:
    reactor, caller, server = nodes.connect_pair()
    server.identity = attrs.evolve(server.identity, key_epoch=7)
    reactor.pass_time(1_100)
    assert caller.pool.identity_of(nodes.ADDRESS) == server.identity
    assert caller.handler.events == [("connected", "server")]


def test_an_unused_stream_is_closed_and_opened_again_on_demand() -> None:
    reactor, caller, server = nodes.connect_pair(idle_close_ms=2_000)
    reactor.pass_time(2_100)
    assert caller.handler.events[-1] == ("lost: idle", "server")
    assert caller.pool.identity_of(nodes.ADDRESS) is None
    server.handler.answer = lambda request: nodes.answer_with(b"")
    caller.call("again")
    reactor.run_until_idle()
    assert caller.codes() == [("again", "ANSWERED")]


def test_an_unused_stream_costs_few_control_bytes() -> None:
    reactor, caller, server = nodes.connect_pair()
    before = caller.pool.statistics().control_bytes_out
    reactor.pass_time(20_000)
    # 4 bytes of length and about 4 of frame, at most one PING or PONG a second.
    assert caller.pool.statistics().control_bytes_out - before <= 20 * 8
    assert not reactor.links[0][0].is_lost


def record_ticks(node: nodes.Node) -> list[float]:
    """Return the list that the times of the pool's ticks are added to, in seconds."""
    ticks: list[float] = []
    tick = node.pool.timer.tick

    def record_and_tick() -> None:
        ticks.append(node.reactor.seconds())
        tick()

    node.pool.timer.tick = record_and_tick
    return ticks


def test_an_outstanding_call_does_not_make_the_pool_tick_more_often() -> None:
    reactor, caller, _ = nodes.connect_pair()
    caller.call("slow", deadline_ms=10_000)
    reactor.run_until_idle()
    ticks = record_ticks(caller)
    reactor.pump([0.01] * 200)
    assert len(ticks) <= 2_000 / caller.pool.context.checks.busy_interval_ms + 1


def test_idle_streams_are_checked_once_in_a_heartbeat_interval() -> None:
    reactor, caller, _ = nodes.connect_pair()
    reactor.pass_time(1_000)
    ticks = record_ticks(caller)
    reactor.pump([0.01] * 1_000)
    # Heartbeats are checked more often until they are answered.
    checks = caller.pool.context.checks
    heartbeats = 10_000 / (8 * checks.idle_interval_ms)
    assert len(ticks) <= 10_000 / checks.idle_interval_ms + 2 * heartbeats + 10


def test_a_silent_peer_is_detected_in_time_by_a_call_on_an_idle_stream() -> None:
    reactor, caller, _ = nodes.connect_pair()
    reactor.pass_time(1_900)
    for end in reactor.links[0]:
        end.is_held = True
    caller.call("lost", deadline_ms=10_000)
    stream_settings = caller.pool.context.settings
    late_ms = 2 * caller.pool.context.checks.idle_interval_ms
    reactor.pass_time(stream_settings.silent_after_ms + late_ms)
    assert caller.codes() == [("lost", "UNDELIVERED")]


def test_a_peer_that_connects_is_called_at_once_after_a_failed_attempt() -> None:
    """Guards against calls refused while a node is known to have just started."""
    reactor = memory_network.MemoryReactor()
    caller = nodes.Node(reactor, "caller", nodes.OTHER_ADDRESS)
    server = nodes.Node(reactor, "server")
    caller.pool.listen(nodes.OTHER_ADDRESS)
    caller.call("early")
    reactor.run_until_idle()
    server.pool.listen(nodes.ADDRESS)
    server.pool.connect(nodes.OTHER_ADDRESS, 1_000, lambda identity: None)
    reactor.run_until_idle()
    caller.call("late")
    reactor.run_until_idle()
    server.handler.replies[0](nodes.answer_with(b""))
    reactor.run_until_idle()
    assert caller.codes() == [("early", "PEER_UNREACHABLE"), ("late", "ANSWERED")]
