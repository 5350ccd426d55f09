"""Nodes on an in-memory network."""

from collections.abc import Callable
from typing import Any

import attrs
import xxhash

from jujubetiller import calls, codes, frames, settings, streams
from tests import reactor_clock
from tests.streams import memory_network

ADDRESS = settings.Address("127.0.0.1", 4001)
OTHER_ADDRESS = settings.Address("127.0.0.1", 4002)


class RecordingHandler(streams.StreamHandler):
    """Records requests and events, and answers with ``answer`` if it is set."""

    def __init__(self) -> None:
        self.requests: list[calls.CallRequest] = []
        self.replies: list[Callable[[calls.CallAnswer], None]] = []
        self.cancelled: list[int] = []
        self.events: list[tuple[str, str]] = []
        self.messages: list[Any] = []
        self.control_reply: Any = None
        self.seals: list[str] = []
        self.answer: Callable[[calls.CallRequest], calls.CallAnswer] | None = None

    def handle_call(
        self, request: calls.CallRequest, reply: Callable[[calls.CallAnswer], None]
    ) -> Callable[[], None]:
        """Record the request, and answer it at once if ``answer`` is set."""
        number = len(self.requests)
        self.requests.append(request)
        self.replies.append(reply)
        if self.answer is not None:
            reply(self.answer(request))
        return lambda: self.cancelled.append(number)

    def handle_seal(self, key: str, reply: Callable[[bool], None]) -> None:
        """Confirm every key but ``bad``."""
        self.seals.append(key)
        reply(key != "bad")

    def handle_control(
        self, peer: streams.PeerIdentity, message: Any, reply: Callable[[Any], None]
    ) -> None:
        """Record the message and send ``control_reply`` if it is set."""
        self.messages.append((peer.instance, message))
        if self.control_reply is not None:
            reply(self.control_reply)

    def peer_connected(self, peer: streams.PeerIdentity) -> None:
        """Record the event."""
        self.events.append(("connected", peer.instance))

    def peer_lost(self, peer: streams.PeerIdentity, reason: str) -> None:
        """Record the event."""
        self.events.append((f"lost: {reason}", peer.instance))

    def peer_draining(self, peer: streams.PeerIdentity) -> None:
        """Record the event."""
        self.events.append(("draining", peer.instance))


class Node:
    """A pool with its handler and identity."""

    def __init__(
        self,
        reactor: memory_network.MemoryReactor,
        name: str,
        address: settings.Address = ADDRESS,
        **stream_settings: Any,
    ) -> None:
        self.reactor = reactor
        self.identity = streams.PeerIdentity(
            name, "ledger", "puchong", address.host, address.port, 1, "b", 1, False, b""
        )
        self.handler = RecordingHandler()
        self.time_source = reactor_clock.ReactorClock(reactor)
        self.pool = streams.StreamPool(
            reactor,
            self.time_source,
            settings.StreamSettings(**stream_settings),
            lambda: self.identity,
            self.handler,
        )
        self.answers: list[tuple[Any, calls.CallAnswer]] = []

    def call(
        self, mark: Any, deadline_ms: float = 1_000, **changes: Any
    ) -> streams.OutgoingCall:
        """Send a call and record its answer under ``mark``."""
        return self.pool.send_call(
            ADDRESS,
            attrs.evolve(REQUEST, **changes),
            calls.Deadline.after(self.time_source, deadline_ms),
            lambda answer: self.answers.append((mark, answer)),
        )

    def codes(self) -> list[tuple[Any, str]]:
        """Return the marks and the names of the codes of the answers so far."""
        return [(mark, answer.code.name) for mark, answer in self.answers]


REQUEST = calls.CallRequest(
    service="ledger",
    method="POST",
    path="/deposits?currency=MYR",
    kind="deposit",
    priority_class=0,
    rank=12,
    idempotent=False,
    deadline_left_ms=0,
    retry_tokens=3,
    tree_id="tree-1",
    depth=2,
    attempt=1,
    key="key",
    headers=(("content-type", "text/plain"),),
    body=b"body",
)


def answer_with(body: bytes) -> calls.CallAnswer:
    """Return a successful answer."""
    return calls.CallAnswer(
        codes.Outcome.ANSWERED, codes.ResultCode.ANSWERED, 200, body=body
    )


def make_pair(
    **stream_settings: Any,
) -> tuple[memory_network.MemoryReactor, Node, Node]:
    """Return a network with a caller and a listening server."""
    reactor = memory_network.MemoryReactor()
    caller = Node(reactor, "caller", OTHER_ADDRESS, **stream_settings)
    server = Node(reactor, "server", ADDRESS, **stream_settings)
    server.pool.listen(ADDRESS)
    return reactor, caller, server


def connect_pair(
    **stream_settings: Any,
) -> tuple[memory_network.MemoryReactor, Node, Node]:
    """Return a pair that has exchanged one call, with its records cleared."""
    reactor, caller, server = make_pair(**stream_settings)
    caller.call("first")
    reactor.run_until_idle()
    server.handler.replies[0](answer_with(b""))
    reactor.run_until_idle()
    assert caller.codes() == [("first", "ANSWERED")]
    for node in (caller, server):
        node.answers.clear()
        node.handler.requests.clear()
        node.handler.replies.clear()
    return reactor, caller, server


def checksum(body: bytes) -> int:
    """Return the checksum of a body as the frames carry it."""
    return xxhash.xxh64_intdigest(body)


def inject(end: memory_network.MemoryTransport, frame: frames.Frame) -> None:
    """Pass a frame to the protocol at ``end`` as if its peer had sent it."""
    data = frames.FrameEncoder(1_048_576).encode(frame)
    assert isinstance(data, bytes)
    end.protocol.dataReceived(data)
