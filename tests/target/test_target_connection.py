"""Guards against a response of the target that is lost or reaches another call."""

from twisted.internet import testing

from jujubetiller import calls, clock, settings, target

HEAD_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Number: %d\r\n\r\n%d%d"


class Harness:
    """A client of the target with connections in memory."""

    def __init__(self) -> None:
        self.reactor = testing.MemoryReactorClock()
        address = settings.Address("127.0.0.1", 1)
        self.client = target.TargetClient(
            self.reactor, clock.ManualClock(), settings.TargetSettings(address)
        )
        self.responses: list[target.TargetResponse] = []
        self.sends_on_response = False

    def send(self, method: str = "GET") -> None:
        request = target.TargetRequest(method, "/", (), b"", calls.Deadline(1_000.0))
        self.client.send(request, self.receive)

    def receive(self, response: target.TargetResponse) -> None:
        self.responses.append(response)
        if self.sends_on_response:
            self.send()

    def connect(self) -> testing.StringTransport:
        *_, connection = self.reactor.tcpClients
        self.protocol = connection[2].buildProtocol(None)
        transport = testing.StringTransport()
        transport.setTcpNoDelay = lambda enabled: None  # type: ignore[attr-defined]
        self.protocol.makeConnection(transport)
        return transport


def test_the_answer_to_head_ends_with_its_headers() -> None:
    """Guards against a HEAD request that waits for a body until its deadline."""
    harness = Harness()
    harness.send("HEAD")
    harness.connect()
    harness.protocol.dataReceived(HEAD_RESPONSE)
    [response] = harness.responses
    assert (response.status, response.body) == (200, b"")


def test_surplus_bytes_reach_no_other_call() -> None:
    """Guards against a second response in the same segment as the first."""
    harness = Harness()
    harness.send()
    harness.connect()
    # Each response starts the next call, on the same connection if that is idle.
    harness.sends_on_response = True
    harness.protocol.dataReceived(RESPONSE % (1, 1, 1) + RESPONSE % (2, 2, 2))
    assert [response.body for response in harness.responses] == [b"11"]
    assert harness.protocol.call is None and not harness.client.idle
