"""Guards against bodies that are damaged or streams that stay open over real sockets.

In-memory connections show neither partial writes nor the closing of a TCP connection.
"""

from typing import Any

import attrs
import pytest
from twisted.internet import defer, epollreactor

from jujubetiller import calls, clock, settings, streams, transports
from tests.streams import nodes

SIZES = (0, 10, 40_000, 700_000)
LIMIT_S = 30


@pytest.mark.parametrize("at_once", [True, False])
def test_calls_and_a_graceful_close_over_tcp(
    at_once: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not at_once:
        monkeypatch.setattr(
            transports, "send_now", lambda transport, data: transport.write(data)
        )
    reactor: Any = epollreactor.EPollReactor()
    time_source = clock.SystemClock()
    identity = streams.PeerIdentity("a", "b", "c", "", 0, 1, "d", 1, False, b"")
    handlers = [nodes.RecordingHandler() for _ in range(2)]
    caller, server = (
        streams.StreamPool(
            reactor, time_source, settings.StreamSettings(), lambda: identity, handler
        )
        for handler in handlers
    )
    handlers[1].answer = lambda request: nodes.answer_with(request.body[::-1])
    address = settings.Address("127.0.0.1", 0)
    listening_port: Any = server.listen(address)
    address = attrs.evolve(address, port=listening_port.getHost().port)
    bodies = [b"%d " % mark + bytes(SIZES[mark % 4]) for mark in range(100)]
    answers: dict[int, calls.CallAnswer] = {}

    def receive(mark: int, answer: calls.CallAnswer) -> None:
        assert mark not in answers
        answers[mark] = answer
        if len(answers) == len(bodies):
            closed = defer.DeferredList([server.close(), caller.close()])
            closed.addCallback(lambda results: reactor.stop())

    for mark, body in enumerate(bodies):
        caller.send_call(
            address,
            attrs.evolve(nodes.REQUEST, body=body),
            calls.Deadline.after(time_source, LIMIT_S * 1000),
            lambda answer, mark=mark: receive(mark, answer),  # type: ignore[misc]
        )
    # Stops the reactor if the streams do not close, so that the test fails.
    limit = reactor.callLater(LIMIT_S, reactor.stop)
    reactor.run(installSignalHandlers=False)
    assert limit.active(), "the streams did not close"
    got = {mark: answer.body for mark, answer in answers.items()}
    assert got == {mark: body[::-1] for mark, body in enumerate(bodies)}
    assert handlers[0].events == [("connected", "a"), ("lost: retired", "a")]
    assert handlers[1].events == [("connected", "a"), ("lost: unused", "a")]
