"""A listener on a string transport, with a handler whose requests the test answers."""

from collections.abc import Callable
from typing import Any

from twisted.internet import error, task
from twisted.internet.testing import StringTransport
from twisted.python import failure

from jujubetiller import clock, codes, edge


class RecordingHandler(edge.EdgeHandler):
    """Records the requests, their reply functions and the paths of cancelled ones."""

    def __init__(self) -> None:
        self.messages: list[edge.EdgeMessage] = []
        self.replies: list[Callable[[edge.EdgeReply], None]] = []
        self.cancelled: list[str] = []
        self.draining = False

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        self.messages.append(message)
        self.replies.append(reply)
        return lambda: self.cancelled.append(message.path)

    def refuse(self, code: codes.ResultCode, detail: str) -> edge.EdgeReply:
        status = codes.describe(code).http_status
        return edge.EdgeReply(status, [("Jujubetiller-Code", str(code.value))], b"")

    def is_draining(self) -> bool:
        return self.draining


class Transport(StringTransport):
    """A string transport that accepts the TCP option and records an abort."""

    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""

    def abortConnection(self) -> None:
        self.aborted = True
        self.disconnected = True


class Listener:
    """An edge listener under test."""

    def __init__(
        self,
        max_body_bytes: int = 16,
        max_connections: int = 2,
        factory_class: type[edge.EdgeFactory] = edge.EdgeFactory,
        **arguments: Any,
    ) -> None:
        self.clock = clock.ManualClock(1_000)
        self.reactor = task.Clock()
        self.handler = RecordingHandler()
        self.factory = factory_class(
            self.reactor,
            self.clock,
            self.handler,
            max_body_bytes,
            max_connections,
            **arguments,
        )

    def connect(self) -> "Connection":
        channel = self.factory.buildProtocol(None)
        assert channel is not None
        return Connection(channel)


class Connection:
    """A client's end of one connection."""

    def __init__(self, channel: Any) -> None:
        self.channel = channel
        self.transport = Transport()
        channel.makeConnection(self.transport)

    def receive(self, data: bytes) -> None:
        self.channel.dataReceived(data)

    def request(
        self,
        path: str = "/booth/a",
        headers: str = "",
        body: str = "",
        method: str = "GET",
    ) -> None:
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n"
        self.receive(head.encode("latin-1") + body.encode())

    def disconnect(self) -> None:
        reason = failure.Failure(error.ConnectionDone())
        self.channel.connectionLost(reason)

    def read_output(self) -> str:
        data = self.transport.value().decode("latin-1")
        self.transport.clear()
        return data
