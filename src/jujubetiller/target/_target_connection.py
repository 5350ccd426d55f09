"""One HTTP/1.1 connection to the target."""

import re
from typing import TYPE_CHECKING

import httptools
from twisted.internet import error, protocol
from twisted.python import failure

from jujubetiller import buffers, calls, codes, transports
from jujubetiller.target import (
    _response_size,
    _response_statuses,
    _target_call,
    _target_request,
    _target_response,
)

if TYPE_CHECKING:
    from jujubetiller.target import _target_client

_HOP_BY_HOP = frozenset(
    ("connection", "content-length", "keep-alive", "transfer-encoding")
)

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")

# The rest of the target's idle timeout covers the transit time of the next request.
_REUSE_SHARE = 0.7

LOWEST_FINAL_STATUS = 200

REMEMBERED_ECHOES = 8
"""Latest requests of a connection whose second answer may still arrive."""


class TargetConnection(protocol.Protocol):
    """A connection that carries one request at a time.

    Responses are parsed by httptools. The client of ``twisted.web`` adds 0.1 ms per
    call, which would exceed the limit of 0.55 ms.
    """

    def __init__(
        self,
        client: "_target_client.TargetClient",
        first_call: _target_call.TargetCall,
    ) -> None:
        self.client = client
        self.first_call: _target_call.TargetCall | None = first_call
        """The call that the connection is opened for, until it is open."""

        self.call: _target_call.TargetCall | None = None
        self.idle_since_ms = client.clock.now_ms()
        self.is_open = False
        self.body = buffers.BodyBuffer()
        self.size = _response_size.ResponseSize(client.memory)
        self.response_headers: list[tuple[str, str]] = []
        self.received_any = False
        self.head_is_complete = False
        self.is_complete = False
        self.statuses = _response_statuses.ResponseStatuses()
        self.keep_alive = False
        self.status = 0
        self.echoed: str | None = None
        self.requests_sent = 0
        self.recent_echoes: tuple[str, ...] = ()
        """The echo values of the latest requests on this connection."""

        self.has_length = False
        self.reuse_ms: float | None = None
        """How long the idle connection may be reused, from the target's ``Keep-Alive``
        header; None without that header."""

        self.parser: httptools.HttpResponseParser | None = None
        self.sender: transports.BodyProducer | None = None
        """Sends the large body of the request in progress."""

    def connectionMade(self) -> None:
        """Send the call that the connection was opened for, unless it has ended."""
        self.is_open = True
        self.client.statistics.connections_opened += 1
        self.client.open.add(self)
        assert self.transport is not None
        self.transport.setTcpNoDelay(True)  # type: ignore[attr-defined]
        call, self.first_call = self.first_call, None
        if call is None or call.ended:
            self.client.connection_idle(self)
        else:
            self.send(call)

    def send(self, call: _target_call.TargetCall) -> None:
        """Write the request of ``call``; the connection must be idle."""
        self.call = call
        call.connection = self
        call.sent_at_ms = self.client.clock.now_ms()
        self.requests_sent += 1
        self.received_any = False
        self.is_complete = False
        self.statuses.start_request()
        if call.request.echo is not None:
            echoes = (*self.recent_echoes, call.request.echo[1])
            self.recent_echoes = echoes[-REMEMBERED_ECHOES:]
        self.size.start_request()
        self.reset_response()
        self.parser = httptools.HttpResponseParser(self)
        assert self.transport is not None
        request = call.request
        if transports.sends_in_parts(self.transport, request.body):
            head = _target_request.encode_head(request)
            transports.send_now(self.transport, head)
            self.sender = transports.BodyProducer(self.transport, request.body)
            self.sender.start()
        else:
            data = _target_request.encode_request(request)
            transports.send_now(self.transport, data)

    def reset_response(self) -> None:
        """Discard what was parsed so far and expect the head of a response."""
        self.size.discard()
        self.body.clear()
        self.response_headers = []
        self.head_is_complete = False
        self.echoed = None
        self.has_length = False

    def dataReceived(self, data: bytes) -> None:
        """Parse ``data``; data while no request is in progress closes the connection.

        A response is delivered only after the parser has returned: its receiver may
        send the next request over this connection at once, and the rest of ``data``
        must not become part of the response to that request.
        """
        if self.call is None or self.parser is None:
            self.close()
            return
        self.received_any = True
        self.size.receive(len(data), is_head=not self.head_is_complete)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.is_complete:
                self.fail_invalid()
                return
            self.keep_alive = False
        if self.statuses.is_invalid:
            self.fail_invalid()
            return
        max_answer_bytes = self.client.settings.max_answer_bytes
        if self.size.is_too_large(max_answer_bytes, self.head_is_complete):
            self.fail(codes.ResultCode.ANSWER_TOO_LARGE)
        elif not self.client.may_hold(len(data)):
            self.client.statistics.held_bytes_refused += 1
            self.fail(codes.ResultCode.ANSWER_TOO_LARGE)
        elif self.is_complete:
            self.finish()

    def fail_invalid(self) -> None:
        """End a call whose response is none that can be passed on."""
        self.client.statistics.responses_invalid += 1
        self.fail(codes.ResultCode.ANSWER_INCOMPLETE)

    def on_message_begin(self) -> None:
        """Prevent reuse after an unrequested response: further data is unreliable."""
        if self.is_complete:
            self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store an end-to-end header and evaluate the headers used here.

        Trailers are dropped.
        """
        if self.is_complete or self.head_is_complete:
            return
        if not self.size.allows_header(len(self.response_headers)):
            return
        text = name.decode("latin-1")
        lower = text.lower()
        handler = _HEADER_HANDLERS.get(lower)
        if handler is not None:
            handler(self, value)
        echo = None if self.call is None else self.call.request.echo
        if echo is not None and lower == echo[0]:
            self.echoed = value.decode("latin-1")
        if lower not in _HOP_BY_HOP:
            self.response_headers.append((text, value.decode("latin-1")))

    def handle_length(self, value: bytes) -> None:
        """Record that the end of the response is marked in the response itself."""
        self.has_length = True

    def handle_keep_alive(self, value: bytes) -> None:
        """Derive the reuse time from the idle timeout that the target announces."""
        found = _KEEP_ALIVE_TIMEOUT.search(value)
        if found is not None:
            self.reuse_ms = int(found.group(1)) * 1000.0 * _REUSE_SHARE

    def belongs_to_another_request(self) -> bool:
        """Return whether the response may be a second copy of an earlier one."""
        if self.call is None or self.call.request.echo is None:
            return False
        if self.echoed is None:
            return self.client.requires_echo and self.requests_sent > 1
        return self.echoed != self.call.request.echo[1]

    def may_be_repeated(self) -> bool:
        """Return whether a second copy could be taken for a later response.

        That is so for a response without the echo value. Targets that never repeat it
        keep their connections after successes.
        """
        if self.call is None or self.call.request.echo is None:
            return False
        is_failure = self.status >= calls.LOWEST_FAILURE_STATUS
        return self.echoed is None and (self.client.requires_echo or is_failure)

    def on_headers_complete(self) -> None:
        """Complete a response to HEAD, which has no body even with a Content-Length."""
        if self.is_complete or self.parser is None:
            return
        self.statuses.record(self.parser.get_status_code(), self.has_length)
        if self.statuses.is_invalid:
            return
        self.head_is_complete = True
        self.size.complete_head(len(self.response_headers))
        if self.call is not None and self.call.request.method == "HEAD":
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, up to the size limit."""
        if self.is_complete:
            self.keep_alive = False
            return
        if self.size.add_body(len(data), self.client.settings.max_answer_bytes):
            self.body.add(data)

    def on_message_complete(self) -> None:
        """Complete the response; discard an interim one or one to another request."""
        if self.is_complete or self.parser is None or self.statuses.is_invalid:
            return
        self.status = self.parser.get_status_code()
        if self.status < LOWEST_FINAL_STATUS:
            self.reset_response()
            return
        if self.belongs_to_another_request():
            self.client.statistics.responses_of_others += 1
            self.reset_response()
            return
        self.is_complete = True
        self.keep_alive = self.parser.should_keep_alive() and not self.may_be_repeated()

    def finish(self) -> None:
        """Deliver the complete response and keep or close the connection."""
        call = self.call
        assert call is not None
        response = _target_response.TargetResponse(
            code=codes.ResultCode.ANSWERED,
            status=self.status,
            headers=tuple(self.response_headers),
            body=self.body.take(),
        )
        self.call = self.parser = None
        self.reset_response()
        sender, self.sender = self.sender, None
        if self.keep_alive and (sender is None or sender.has_ended):
            self.client.connection_idle(self)
        else:
            self.close()
        call.end(response)

    def fail(self, code: codes.ResultCode) -> None:
        """End the request in progress with ``code`` and close the connection."""
        call, self.call = self.call, None
        self.parser = None
        self.reset_response()
        self.close()
        if call is not None:
            call.fail(code)

    def abandon(self) -> None:
        """Close the connection without a report, which cancels the request."""
        self.call = self.parser = None
        self.reset_response()
        self.close()

    def close(self) -> None:
        """Close the connection immediately, dropping unsent data."""
        if self.is_open and self.transport is not None:
            self.is_open = False
            self.transport.abortConnection()  # type: ignore[attr-defined]
        self.client.connection_closed(self)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Report how the request in progress ended, if there is one."""
        self.is_open = False
        self.client.connection_closed(self)
        if self.ends_with_connection(reason):
            assert self.parser is not None
            self.status = self.parser.get_status_code()
            self.keep_alive = False
            self.finish()
            return
        call, self.call = self.call, None
        self.parser = None
        self.reset_response()
        if call is not None:
            self.client.statistics.closed_early += 1
            call.fail(codes.ResultCode.TARGET_CLOSED_EARLY)

    def ends_with_connection(self, reason: failure.Failure) -> bool:
        """Return whether the close completes a response without a length."""
        return (
            self.client.close_ends_answer
            and self.call is not None
            and self.head_is_complete
            and not self.has_length
            and not self.belongs_to_another_request()
            and reason.check(error.ConnectionDone) is not None
        )


_HEADER_HANDLERS = {
    "content-length": TargetConnection.handle_length,
    "transfer-encoding": TargetConnection.handle_length,
    "keep-alive": TargetConnection.handle_keep_alive,
}
