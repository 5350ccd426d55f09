"""Guards against calls that end as unknown although their peer never received them."""

import pytest

from jujubetiller import codes, frames, streams
from jujubetiller.streams import _hello, _outgoing_reconcile, _received_calls
from tests.streams import memory_network, nodes

DEADLINE_MS = 20_000.0
SILENT_MS = 1_800.0
"""A stream with a call counts as lost when nothing was received for so long."""


def hold(reactor: memory_network.MemoryReactor, is_held: bool = True) -> None:
    """Let the first connection go silent, or deliver what it holds."""
    for end in reactor.links[0]:
        end.is_held = is_held


def lose_stream() -> tuple[memory_network.MemoryReactor, nodes.Node, nodes.Node]:
    """Return a pair whose stream went silent between two calls."""
    reactor, caller, server = nodes.connect_pair()
    caller.call("received", DEADLINE_MS)
    reactor.run_until_idle()
    hold(reactor)
    caller.call("held", DEADLINE_MS)
    return reactor, caller, server


def test_calls_behind_the_last_received_one_are_not_run() -> None:
    reactor, caller, server = lose_stream()
    reactor.pass_time(SILENT_MS)
    assert caller.codes() == [("received", "STREAM_LOST"), ("held", "UNDELIVERED")]
    assert len(server.handler.requests) == 1


def test_what_arrives_after_it_was_reported_as_not_received_is_not_run() -> None:
    """Guards against a second copy of a request that was sent again elsewhere.

    The caller has lost the stream, and what it wrote is still on its way.
    """
    reactor, caller, server = lose_stream()
    reactor.links[0][0].drop()
    reactor.pass_time(100)
    assert caller.codes() == [("received", "STREAM_LOST"), ("held", "UNDELIVERED")]
    hold(reactor, is_held=False)
    reactor.pass_time(SILENT_MS)
    assert len(server.handler.requests) == 1
    assert server.handler.cancelled == [0]


def test_a_peer_that_closed_the_stream_itself_remembers_it() -> None:
    reactor, caller, server = lose_stream()
    reactor.links[0][1].abortConnection()
    reactor.run_until_idle()
    assert caller.codes() == [("received", "STREAM_LOST"), ("held", "UNDELIVERED")]
    assert len(server.handler.requests) == 1


def test_a_peer_that_has_started_again_knows_no_earlier_stream() -> None:
    """Guards against "not run" for calls that the process before may have run."""
    reactor, caller, _ = lose_stream()
    restarted = nodes.Node(reactor, "server")
    restarted.pool.listen(nodes.ADDRESS)
    reactor.pass_time(SILENT_MS)
    assert caller.codes() == [("received", "STREAM_LOST"), ("held", "STREAM_LOST")]
    assert restarted.handler.requests == []


def test_calls_end_as_unknown_if_the_peer_can_not_be_asked() -> None:
    reactor, caller, _ = lose_stream()
    reactor.black_holes.add((nodes.ADDRESS.host, nodes.ADDRESS.port))
    reactor.pass_time(SILENT_MS + _outgoing_reconcile.TIMEOUT_MS)
    assert caller.codes() == [("received", "STREAM_LOST"), ("held", "STREAM_LOST")]


def test_a_lost_call_still_ends_at_its_deadline_or_when_it_is_cancelled() -> None:
    reactor, caller, _ = nodes.connect_pair()
    reactor.black_holes.add((nodes.ADDRESS.host, nodes.ADDRESS.port))
    caller.call("short", 100.0)
    cancelled = caller.call("cancelled", DEADLINE_MS)
    reactor.run_until_idle()
    reactor.links[0][0].abortConnection()
    cancelled.cancel()
    reactor.pass_time(120)
    assert caller.codes() == [
        ("cancelled", "CANCELLED_WHILE_RUNNING"),
        ("short", "DEADLINE_PASSED"),
    ]
    reactor.pass_time(_outgoing_reconcile.TIMEOUT_MS)
    assert len(caller.answers) == 2


def test_a_pool_that_closes_asks_no_peer() -> None:
    reactor, caller, _ = lose_stream()
    caller.pool.abort()
    reactor.run_until_idle()
    assert caller.codes() == [("received", "STREAM_LOST"), ("held", "STREAM_LOST")]
    assert len(reactor.links) == 1


def test_a_peer_with_an_older_program_is_not_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a frame that closes the streams of a rolling restart."""
    make_hello = _hello.make_hello
    monkeypatch.setattr(
        _hello,
        "make_hello",
        lambda identity, stream_settings, stream_id: make_hello(
            identity,
            stream_settings,
            stream_id if identity.instance == "caller" else "",
        ),
    )
    reactor, caller, server = lose_stream()
    reactor.pass_time(SILENT_MS)
    assert caller.codes() == [("received", "STREAM_LOST"), ("held", "STREAM_LOST")]
    assert server.pool.statistics().refusals["bad_frame"] == 0


def test_the_hello_of_an_older_program_names_no_stream() -> None:
    hello = _hello.make_hello(
        make_identity(), nodes.make_pair()[1].pool.context.settings, "1"
    )
    fields = hello.to_fields()[:-1]
    assert frames.Hello.check_fields(fields) is None
    assert frames.Hello.from_fields(fields).stream_id == ""


def make_identity(boot_id: str = "b") -> streams.PeerIdentity:
    return streams.PeerIdentity(
        "caller", "ledger", "puchong", "127.0.0.1", 4002, 1, boot_id, 1, False, b""
    )


def test_another_process_learns_nothing_of_a_stream_and_does_not_end_it() -> None:
    reactor, caller, server = lose_stream()
    received = server.pool.listener.received_calls
    [(key, stream)] = received.open.items()
    other = _received_calls.StreamKey.of(make_identity("other"), key.stream_id)
    assert received.end_stream(other) is None
    assert not stream.closing
    assert received.end_stream(key) == stream.last_call_id


def test_closed_streams_are_remembered_up_to_a_bound() -> None:
    received = _received_calls.ReceivedCalls()
    keys = [
        _received_calls.StreamKey.of(make_identity(), str(number))
        for number in range(_received_calls.MAX_CLOSED_STREAMS + 5)
    ]
    for number, key in enumerate(keys):
        received.remove(key, number)
    assert len(received.closed) == _received_calls.MAX_CLOSED_STREAMS
    assert received.end_stream(keys[0]) is None
    assert received.end_stream(keys[-1]) == len(keys) - 1


def test_an_answer_to_another_kind_of_question_is_ignored() -> None:
    reactor, caller, _ = nodes.connect_pair()
    confirmed: list[bool] = []
    reactor.links[0][0].is_held = True
    caller.pool.send_seal(nodes.ADDRESS, "key", 300, confirmed.append)
    near = reactor.links[0][0]
    call_id = near.protocol.last_call_id
    nodes.inject(near, frames.Reconciled(call_id, True, 5))
    assert confirmed == []
    nodes.inject(near, frames.Sealed(call_id, True))
    assert confirmed == [True]
    refusals = caller.pool.statistics().refusals
    assert refusals["answer_for_unknown_reconcile"] == 1
    assert codes.ResultCode.BAD_FRAME.name.lower() not in refusals
