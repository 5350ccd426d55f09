"""An HTTP connection whose pipelined requests are handled concurrently."""

import collections
from typing import Any

import httptools
from twisted.internet import protocol
from twisted.python import failure

from jujubetiller import codes, transports
from jujubetiller.edge import (
    _connection_memory,
    _edge_reply,
    _encode_reply,
    _exchange,
    _linger,
    _request_reader,
    _waiting_requests,
)

_NOT_HTTP = "allowed is HTTP/1.1 with printable characters"

_DETAILS = {
    codes.ResultCode.BAD_REQUEST: _NOT_HTTP,
    codes.ResultCode.NODE_MEMORY_FULL: "the node holds too much for other requests",
    codes.ResultCode.TOO_MANY_CONNECTIONS: "the connection is needed for other clients",
}


class PipelinedConnection(_request_reader.RequestReader):
    """Handles up to ``pipeline_depth`` requests of an HTTP/1.1 connection concurrently.

    The answers are written in the order of the requests. Requests are parsed by
    httptools, which takes half the time of the line parser of ``twisted.web``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.parser = httptools.HttpRequestParser(self)
        self.requests: collections.deque[_exchange.Exchange] = collections.deque()
        self.waiting = _waiting_requests.WaitingRequests()
        """Requests beyond ``pipeline_depth``, started as earlier ones are answered."""

        self.paused_at_ms: float | None = None
        """Since when the connection is not read; None while it is."""

        self.is_starting = False
        """Whether waiting requests are being started; one that is refused at once
        leads back there."""

        self.is_closing = False
        self.is_lingering = False
        self.memory: _connection_memory.ConnectionMemory | None = None
        """The memory that is held; None without an account."""

        self.running_bytes = 0
        """Heads and bodies of the requests that run."""

        self.answer_bytes = 0
        """Answers that wait for earlier ones."""

        self.sender: transports.BodyProducer | None = None
        """Sends a large answer; further answers wait for its end."""

        self.served_at_ms = 0.0
        """When the latest answer was written; before that, when the connection was
        made."""

    def connectionMade(self) -> None:
        """Count the connection, and set TCP_NODELAY to send small answers at once."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.last_active_ms = self.served_at_ms = self.factory.clock.now_ms()
        self.factory.channels.add(self)
        if self.factory.account is not None:
            self.memory = _connection_memory.ConnectionMemory(
                self.factory.account, self
            )

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
        if self.refusal is not None:
            self.refuse_and_close(_DETAILS[self.refusal], self.refusal)
        elif self.framing_bytes > self.factory.max_head_bytes:
            self.refuse_and_close(_NOT_HTTP)
        elif self.memory is not None:
            self.memory.receive(len(data))

    def refuse_slow_head(self, oldest_ms: float) -> None:
        """Refuse a request whose head began before ``oldest_ms`` and is incomplete.

        The time in which the connection is not read doesn't count.
        """
        if self.head_started_ms is None or self.paused_at_ms is not None:
            return
        if self.head_started_ms < oldest_ms:
            self.refuse_and_close("the head of the request took too long")

    def on_message_complete(self) -> None:
        """Pass a complete request on, and expect the next one."""
        self.framing_bytes = 0
        if self.refusal is not None:
            return
        if self.has_to_wait() and self.memory is not None:
            self.memory.refuse_waiting()
            if self.refusal is not None:
                return
        exchange = _exchange.Exchange(
            self.parser.get_method(), self.parser.should_keep_alive()
        )
        message = self.make_message()
        if not isinstance(message, codes.Problem):
            exchange.held_bytes = self.count_head_bytes() + len(message.body)
        self.begin_message()
        if not exchange.keep_alive:
            self.is_closing = True
        self.start_or_wait(exchange, message)

    def start_or_wait(
        self, exchange: _exchange.Exchange, message: _waiting_requests.Message
    ) -> None:
        """Start a request, or keep it while ``pipeline_depth`` others are running."""
        if not self.has_to_wait():
            self.start(exchange, message)
            return
        self.waiting.append(exchange, message)
        if self.waiting.is_full():
            self.pause()

    def has_to_wait(self) -> bool:
        """Return whether the next request has to wait for earlier ones."""
        return len(self.requests) >= self.factory.pipeline_depth

    def start(
        self,
        exchange: _exchange.Exchange,
        message: _waiting_requests.Message,
    ) -> None:
        """Pass a request to the handler, or refuse it."""
        self.requests.append(exchange)
        self.running_bytes += exchange.held_bytes
        handler = self.factory.handler
        if isinstance(message, codes.Problem):
            detail = f"{message.field}: {message.message}"
            self.answer(exchange, handler.refuse(message.code, detail))
            return
        cancel = handler.handle(message, lambda reply: self.answer(exchange, reply))
        if exchange.reply is None and exchange in self.requests:
            # A request that is answered already has nothing to cancel, and what its
            # cancel function refers to would stay until all earlier ones are answered.
            exchange.cancel = cancel

    def answer(
        self, exchange: _exchange.Exchange, reply: _edge_reply.EdgeReply
    ) -> None:
        """Store an answer, and write all answers that are next in order."""
        exchange.cancel = None
        if exchange.reply is not None or exchange not in self.requests:
            return
        exchange.reply = reply
        self.running_bytes -= exchange.held_bytes
        self.answer_bytes += len(reply.body)
        self.write_answers()

    def write_answers(self) -> None:
        """Write the answers that are next in order, then start waiting requests."""
        self.sender = None if self.sender and self.sender.has_ended else self.sender
        while self.requests and self.requests[0].reply and self.sender is None:
            self.write_first()
        self.start_waiting()
        if not self.is_starting:
            self.send_continue()
        if self.memory is not None and not self.is_starting:
            self.memory.measure()

    def is_next_to_answer(self) -> bool:
        """Return whether all answers to complete requests are written."""
        is_busy = self.requests or self.waiting or self.sender is not None
        return not is_busy and not self.is_closing

    def write_first(self) -> None:
        """Write the answer to the oldest request."""
        exchange = self.requests.popleft()
        assert exchange.reply is not None
        assert self.transport is not None
        is_last = not self.requests and not self.waiting
        is_final = is_last and (self.is_closing or self.factory.handler.is_draining())
        reply = exchange.reply
        self.served_at_ms = self.factory.clock.now_ms()
        self.answer_bytes -= len(reply.body)
        is_head = exchange.method == b"HEAD"
        sends_body = not is_head and _encode_reply.has_body(reply)
        if sends_body and transports.sends_in_parts(self.transport, reply.body):
            head = _encode_reply.encode_head(reply, not is_final)
            transports.send_now(self.transport, head)
            self.sender = transports.BodyProducer(
                self.transport, reply.body, self.write_answers
            )
            exchange.reply = None
            self.sender.start()
        else:
            data = _encode_reply.encode_reply(reply, not is_final, is_head)
            transports.send_now(self.transport, data)
        if is_final:
            self.is_closing = True
            if not _linger.linger(self):
                self.transport.loseConnection()

    def start_waiting(self) -> None:
        """Start waiting requests, and resume reading once few are left."""
        if self.is_starting:
            return
        self.is_starting = True
        try:
            while self.waiting and not self.has_to_wait():
                self.start(*self.waiting.pop())
        finally:
            self.is_starting = False
        if not self.waiting.is_full():
            self.resume()

    def refuse_and_close(
        self, reason: str, code: codes.ResultCode = codes.ResultCode.BAD_REQUEST
    ) -> None:
        """Answer with ``code`` after all earlier answers, and close.

        What was read of the request is discarded.
        """
        if self.is_closing:
            return
        self.is_closing = True
        self.begin_message()
        self.framing_bytes = 0
        self.head_started_ms = None
        self.parser = None
        problem = codes.Problem(code, "request", reason)
        exchange = _exchange.Exchange(b"", keep_alive=False)
        self.start_or_wait(exchange, problem)

    def refuse_request(self, code: codes.ResultCode) -> None:
        """Refuse the request that is read, which has not run, and close."""
        self.refusal = code
        self.refuse_and_close(_DETAILS[code], code)

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
        if self.memory is not None and self.memory.held_back:
            self.paused_at_ms = paused_at_ms
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
        self.parser = None
        self.sender = None
        if self.memory is not None:
            self.memory.holder.release()
            self.memory = None
        self.waiting.clear()
        requests, self.requests = self.requests, collections.deque()
        for exchange in requests:
            cancel, exchange.cancel = exchange.cancel, None
            if cancel is not None:
                cancel()
