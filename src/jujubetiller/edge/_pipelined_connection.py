"""An HTTP connection whose pipelined requests are handled concurrently."""

import collections
from typing import Any

import httptools
from twisted.internet import protocol
from twisted.python import failure

from jujubetiller import buffers, codes, transports
from jujubetiller.edge import (
    _edge_message,
    _edge_reply,
    _encode_reply,
    _exchange,
    _headers,
    _hop_by_hop,
    _waiting_requests,
)

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_NOT_HTTP = "allowed is HTTP/1.1 with printable characters"


class PipelinedConnection(protocol.Protocol):
    """Handles up to ``pipeline_depth`` requests of an HTTP/1.1 connection concurrently.

    The answers are written in the order of the requests. Requests are parsed by
    httptools, which takes half the time of the line parser of ``twisted.web``.
    """

    factory: Any

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.requests: collections.deque[_exchange.Exchange] = collections.deque()
        self.waiting = _waiting_requests.WaitingRequests()
        """Requests beyond ``pipeline_depth``, started as earlier ones are answered."""

        self.paused_at_ms: float | None = None
        """Since when the connection is not read; None while it is."""

        self.is_starting = False
        """Whether waiting requests are being started; one that is refused at once
        leads back there."""

        self.last_active_ms = 0.0
        self.is_closing = False
        self.framing_bytes = 0
        """Bytes since the last request, head or part of a body was complete: of a
        head, of chunk sizes or of trailers. The parser may keep all of them."""

        self.head_started_ms: float | None = None
        """When the first byte of a head arrived that is still incomplete."""

        self.begin_message()

    def connectionMade(self) -> None:
        """Count the connection, and set TCP_NODELAY to send small answers at once."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.last_active_ms = self.factory.clock.now_ms()
        self.factory.channels.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse the data, unless the connection is closing."""
        if self.is_closing:
            return
        self.last_active_ms = self.factory.clock.now_ms()
        self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.refuse_and_close(_NOT_HTTP)
            return
        if self.framing_bytes > self.factory.max_head_bytes:
            self.refuse_and_close(_NOT_HTTP)

    def refuse_slow_head(self, oldest_ms: float) -> None:
        """Refuse a request whose head began before ``oldest_ms`` and is incomplete.

        The time in which the connection is not read doesn't count.
        """
        if self.head_started_ms is None or self.paused_at_ms is not None:
            return
        if self.head_started_ms < oldest_ms:
            self.refuse_and_close("the head of the request took too long")

    def begin_message(self) -> None:
        """Reset the state of the request that is being parsed."""
        self.url = b""
        self.headers: list[tuple[str, str]] = []
        """Names, in lower case, and values."""

        self.body = buffers.BodyBuffer()
        self.body_bytes = 0
        self.is_too_large = False
        self.head_is_complete = False

    def on_message_begin(self) -> None:
        """Start a request and record when its head began."""
        self.begin_message()
        self.head_started_ms = self.last_active_ms

    def on_url(self, url: bytes) -> None:
        """Append a part of the path and query."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header, with its name in lower case.

        Trailers are dropped: they must not change what the headers say.
        """
        if self.head_is_complete:
            return
        self.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Send ``100 Continue`` if the client expects it before sending the body."""
        self.head_is_complete = True
        self.head_started_ms = None
        self.framing_bytes = 0
        for name, value in self.headers:
            if name == "expect" and value.lower() == "100-continue":
                assert self.transport is not None
                self.transport.write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body, up to ``max_body_bytes``."""
        self.framing_bytes = 0
        self.body_bytes += len(data)
        if self.body_bytes > self.factory.max_body_bytes:
            self.is_too_large = True
            self.body.clear()
        if not self.is_too_large:
            self.body.add(data)

    def on_message_complete(self) -> None:
        """Pass a complete request on, and expect the next one."""
        self.framing_bytes = 0
        exchange = _exchange.Exchange(
            self.parser.get_method(), self.parser.should_keep_alive()
        )
        message = self.make_message()
        self.begin_message()
        if not exchange.keep_alive:
            self.is_closing = True
        self.start_or_wait(exchange, message)

    def start_or_wait(
        self, exchange: _exchange.Exchange, message: _waiting_requests.Message
    ) -> None:
        """Start a request, or keep it while ``pipeline_depth`` others are running."""
        if len(self.requests) < self.factory.pipeline_depth:
            self.start(exchange, message)
            return
        self.waiting.append(exchange, message)
        if self.waiting.is_full():
            self.pause()

    def make_message(self) -> _waiting_requests.Message:
        """Return the request, or why it is refused."""
        if self.is_too_large:
            self.factory.bodies_refused += 1
            return codes.Problem(
                codes.ResultCode.BODY_TOO_LARGE,
                "body",
                f"at most {self.factory.max_body_bytes} bytes",
            )
        path = self.url.decode("latin-1")
        if not (path.startswith("/") and path.isascii() and path.isprintable()):
            return codes.Problem(
                codes.ResultCode.BAD_REQUEST,
                "path",
                "only printable characters are allowed",
            )
        forwarded, control = self.split_headers()
        method = self.parser.get_method().decode("latin-1")
        body = self.body.take()
        return _edge_message.EdgeMessage(method, path, forwarded, control, body)

    def split_headers(self) -> tuple[tuple[tuple[str, str], ...], dict[str, str]]:
        """Return the headers to forward and the Jujubetiller headers."""
        dropped = _hop_by_hop.find_hop_by_hop(
            [value for name, value in self.headers if name == "connection"]
        )
        forwarded = []
        control = {}
        for name, value in self.headers:
            if name.startswith(_headers.HEADER_PREFIX):
                control[name] = value
            elif name not in dropped:
                forwarded.append((name, value))
        return tuple(forwarded), control

    def start(
        self,
        exchange: _exchange.Exchange,
        message: _waiting_requests.Message,
    ) -> None:
        """Pass a request to the handler, or refuse it."""
        self.requests.append(exchange)
        handler = self.factory.handler
        if isinstance(message, codes.Problem):
            detail = f"{message.field}: {message.message}"
            self.answer(exchange, handler.refuse(message.code, detail))
            return
        exchange.cancel = handler.handle(
            message, lambda reply: self.answer(exchange, reply)
        )

    def answer(
        self, exchange: _exchange.Exchange, reply: _edge_reply.EdgeReply
    ) -> None:
        """Store an answer, and write all answers that are next in order."""
        exchange.cancel = None
        if exchange.reply is not None or exchange not in self.requests:
            return
        exchange.reply = reply
        while self.requests and self.requests[0].reply is not None:
            self.write_first()
        self.start_waiting()

    def write_first(self) -> None:
        """Write the answer to the oldest request."""
        exchange = self.requests.popleft()
        assert exchange.reply is not None
        assert self.transport is not None
        is_last = not self.requests and not self.waiting
        is_final = is_last and (self.is_closing or self.factory.handler.is_draining())
        data = _encode_reply.encode_reply(
            exchange.reply, not is_final, exchange.method == b"HEAD"
        )
        transports.send_now(self.transport, data)
        if is_final:
            self.is_closing = True
            self.transport.loseConnection()

    def start_waiting(self) -> None:
        """Start waiting requests, and resume reading once few are left."""
        if self.is_starting:
            return
        self.is_starting = True
        try:
            while self.waiting and len(self.requests) < self.factory.pipeline_depth:
                self.start(*self.waiting.pop())
        finally:
            self.is_starting = False
        if not self.waiting.is_full():
            self.resume()

    def refuse_and_close(self, reason: str) -> None:
        """Answer with ``BAD_REQUEST`` after all earlier answers, and close."""
        if self.is_closing:
            return
        self.is_closing = True
        problem = codes.Problem(codes.ResultCode.BAD_REQUEST, "request", reason)
        exchange = _exchange.Exchange(b"", keep_alive=False)
        self.start_or_wait(exchange, problem)

    def pause(self) -> None:
        """Pause reading from the transport."""
        if self.paused_at_ms is None:
            self.paused_at_ms = self.factory.clock.now_ms()
        pause = getattr(self.transport, "pauseProducing", None)
        if pause is not None:
            pause()

    def resume(self) -> None:
        """Resume reading from the transport, unless the connection is closing."""
        paused_at_ms, self.paused_at_ms = self.paused_at_ms, None
        if paused_at_ms is None:
            return
        if self.head_started_ms is not None:
            self.head_started_ms += self.factory.clock.now_ms() - paused_at_ms
        resume = getattr(self.transport, "resumeProducing", None)
        if resume is not None and not self.is_closing:
            resume()

    def loseConnection(self) -> None:
        """Close the connection once the buffered data is written."""
        self.is_closing = True
        assert self.transport is not None
        self.transport.loseConnection()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Cancel the requests of a client that disconnected."""
        self.factory.channels.discard(self)
        self.is_closing = True
        self.begin_message()
        self.waiting.clear()
        requests, self.requests = self.requests, collections.deque()
        for exchange in requests:
            cancel, exchange.cancel = exchange.cancel, None
            if cancel is not None:
                cancel()
