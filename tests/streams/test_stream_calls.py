"""Guards against calls that end twice, with a wrong code or with another call's answer.

Answers that are duplicated, late, out of order or incomplete could cause each of these.
"""

from typing import Any

import attrs
import pytest

from jujubetiller import calls, codes, frames
from tests.streams import nodes


@pytest.mark.parametrize("size", [0, 16_352, 16_384, 16_385, 2_000_000])
def test_bodies_are_received_unchanged_in_both_directions(size: int) -> None:
    reactor, caller, server = nodes.make_pair()
    body = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
    server.handler.answer = lambda request: nodes.answer_with(request.body[::-1])
    caller.call("a", body=body)
    assert caller.answers == []
    reactor.run_until_idle()
    assert [answer.body for _, answer in caller.answers] == [body[::-1]]
    assert server.handler.requests[0].headers == nodes.REQUEST.headers
    for node in (caller, server):
        assert node.pool.context.partial_bodies.reserved_bytes == 0


def test_answers_out_of_order_reach_their_callers() -> None:
    reactor, caller, server = nodes.connect_pair()
    for mark in range(3):
        caller.call(mark, body=b"%d" % mark)
    reactor.run_until_idle()
    for number in (2, 0, 1):
        request = server.handler.requests[number]
        server.handler.replies[number](nodes.answer_with(request.body))
    reactor.run_until_idle()
    assert [(mark, answer.body) for mark, answer in caller.answers] == [
        (2, b"2"),
        (0, b"0"),
        (1, b"1"),
    ]


def test_a_second_reply_is_not_sent() -> None:
    reactor, caller, server = nodes.connect_pair()
    caller.call("a")
    reactor.run_until_idle()
    for body in (b"1", b"2"):
        server.handler.replies[0](nodes.answer_with(body))
    reactor.run_until_idle()
    assert [answer.body for _, answer in caller.answers] == [b"1"]
    assert server.pool.statistics().refusals["answer_after_end"] == 1
    assert caller.pool.statistics().refusals["answer_for_unknown_call"] == 0


def test_an_early_answer_stops_the_body_of_the_request() -> None:
    reactor, caller, _ = nodes.connect_pair(max_partial_body_bytes=500_000)
    caller.call("a", body=bytes(1_000_000))
    reactor.run_until_idle()
    near, _ = reactor.links[0]
    assert caller.codes() == [("a", "TOO_MANY_CALLS")]
    assert len(near.written) < 200_000
    assert len(near.protocol.writer.bodies) == 0


def test_a_small_call_is_sent_in_one_write_each_way() -> None:
    reactor, caller, server = nodes.connect_pair()
    near, far = reactor.links[0]
    before = near.write_count, far.write_count
    server.handler.answer = lambda request: nodes.answer_with(b"answer")
    caller.call("a")
    reactor.run_until_idle()
    assert (near.write_count, far.write_count) == (before[0] + 1, before[1] + 1)


def answer_frame(call_id: int, body: bytes, **changes: Any) -> frames.Answer:
    frame = frames.Answer(call_id, nodes.answer_with(body), len(body), 0)
    frame.checksum = nodes.checksum(body)
    return attrs.evolve(frame, **changes)


BIG = bytes(40_000)
HEAD = answer_frame(2, BIG, body_inside=False)
OTHER = frames.Data(2, bytes(39_999))
WRONG_ANSWERS: dict[str, list[frames.Frame]] = {
    "checksum": [answer_frame(2, b"x", checksum=1)],
    "length": [answer_frame(2, b"x", body_length=2)],
    "part changed": [
        HEAD,
        frames.Data(2, BIG[1:]),
        frames.Data(2, b"x"),
    ],
    "too long": [HEAD, frames.Data(2, BIG + b"x")],
    "second answer": [HEAD, answer_frame(2, b"second"), OTHER, frames.Data(2, b"x")],
}


@pytest.mark.parametrize("name", WRONG_ANSWERS)
def test_a_damaged_or_incomplete_answer_is_never_delivered(name: str) -> None:
    reactor, caller, _ = nodes.connect_pair()
    caller.call("a")
    reactor.run_until_idle()
    for frame in WRONG_ANSWERS[name]:
        nodes.inject(reactor.links[0][0], frame)
    reactor.run_until_idle()
    assert caller.codes() == [("a", "ANSWER_INCOMPLETE")]
    assert caller.answers[0][1].body == b""
    assert caller.pool.statistics().refusals["answer_incomplete"] == 1


def test_frames_for_other_calls_are_counted_and_dropped() -> None:
    reactor, caller, server = nodes.connect_pair()
    caller.call("a")
    reactor.run_until_idle()
    near, far = reactor.links[0]
    own = answer_frame(2, b"own")
    for frame in (
        answer_frame(1, b"duplicate of an earlier call"),
        answer_frame(99, b"never sent"),
        frames.Data(1, b"late"),
        frames.Data(2, b"before the answer"),
        own,
        own,
    ):
        nodes.inject(near, frame)
    call = frames.Call(1, nodes.REQUEST, 4, nodes.checksum(b"body"))
    nodes.inject(far, call)
    nodes.inject(far, frames.Data(99, b"unknown"))
    nodes.inject(far, frames.Cancel(99))
    assert [(mark, answer.body) for mark, answer in caller.answers] == [("a", b"own")]
    assert len(server.handler.requests) == 1
    counts = caller.pool.statistics().refusals
    assert counts["answer_for_unknown_call"] == 3
    assert counts["data_for_unknown_call"] == 2
    assert server.pool.statistics().refusals["call_id_reused"] == 1


def test_an_answer_after_the_deadline_is_dropped() -> None:
    reactor, caller, server = nodes.connect_pair()
    caller.call("a", 100)
    reactor.run_until_idle()
    near, _ = reactor.links[0]
    # The peer answers before it receives CANCEL.
    near.is_held = True
    reactor.pass_time(100)
    assert caller.codes() == []
    reactor.pass_time(10)
    assert caller.codes() == [("a", "DEADLINE_PASSED")]
    server.handler.replies[0](nodes.answer_with(b"late"))
    reactor.run_until_idle()
    near.is_held = False
    reactor.run_until_idle()
    assert caller.codes() == [("a", "DEADLINE_PASSED")]
    assert caller.pool.statistics().refusals["answer_for_unknown_call"] == 1


@pytest.mark.parametrize("by", ["cancel", "deadline", "lost stream"])
def test_the_peer_s_handler_is_cancelled_when_the_call_ends(by: str) -> None:
    reactor, caller, server = nodes.connect_pair()
    call = caller.call("a", 100)
    reactor.run_until_idle()
    if by == "cancel":
        call.cancel()
        assert caller.answers == []
    elif by == "deadline":
        reactor.pass_time(110)
    else:
        reactor.links[0][0].abortConnection()
    reactor.run_until_idle()
    code = {"cancel": "CANCELLED_WHILE_RUNNING", "deadline": "DEADLINE_PASSED"}
    assert caller.codes() == [("a", code.get(by, "STREAM_LOST"))]
    assert server.handler.cancelled == [0]
    server.handler.replies[0](nodes.answer_with(b"late"))
    call.cancel()
    reactor.run_until_idle()
    assert len(caller.answers) == 1
    assert server.pool.statistics().refusals["answer_after_end"] == 1


@pytest.mark.parametrize(
    ("deadline_ms", "end", "code"),
    [
        (0, "none", "DEADLINE_SPENT"),
        (200, "none", "DEADLINE_SPENT"),
        (900, "none", "PEER_UNREACHABLE"),
        (900, "cancel", "CALLER_CANCELLED"),
        (900, "refuse", "PEER_UNREACHABLE"),
    ],
)
def test_a_call_that_was_never_written_is_not_run(
    deadline_ms: float, end: str, code: str
) -> None:
    reactor, caller, server = nodes.make_pair()
    if end == "refuse":
        reactor.listeners.clear()
    else:
        reactor.black_holes.add((nodes.ADDRESS.host, nodes.ADDRESS.port))
    call = caller.call("a", deadline_ms)
    if end == "cancel":
        call.cancel()
    reactor.pass_time(600)
    assert caller.codes() == [("a", code)]
    assert caller.answers[0][1].outcome is codes.Outcome.NOT_RUN
    assert server.handler.requests == []
    assert caller.pool.is_suspect(nodes.ADDRESS) == (deadline_ms > 0)


def test_the_time_to_receive_the_body_is_subtracted_from_the_deadline() -> None:
    reactor, caller, server = nodes.connect_pair()
    caller.call("a", 500, body=bytes(100_000))
    reactor.links[0][0].deliver()
    reactor.links[0][0].is_held = True
    reactor.pass_time(100)
    reactor.links[0][0].is_held = False
    reactor.run_until_idle()
    assert server.handler.requests[0].deadline_left_ms == pytest.approx(400)


def test_an_exception_in_one_callback_does_not_end_other_calls() -> None:
    reactor, caller, server = nodes.connect_pair()
    deadline = calls.Deadline.after(caller.time_source, 500)
    caller.pool.send_call(
        nodes.ADDRESS, attrs.evolve(nodes.REQUEST), deadline, lambda answer: 1 / 0
    )
    caller.call("b", body=b"1")
    caller.call("c", body=b"0")
    server.handler.answer = lambda request: nodes.answer_with(
        b"%d" % (1 // int(request.body == b"body" or request.body))
    )
    reactor.run_until_idle()
    assert caller.codes() == [("b", "ANSWERED"), ("c", "ANSWER_INCOMPLETE")]
    assert caller.pool.statistics().refusals["answer_callback_failed"] == 1
    assert server.pool.statistics().refusals["call_handler_failed"] == 1
