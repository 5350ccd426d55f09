"""The request that a connection is receiving."""

from typing import Any

from twisted.internet import protocol

from jujubetiller import buffers, codes, memory
from jujubetiller.edge import (
    _edge_message,
    _header_block,
    _headers,
    _hop_by_hop,
    _waiting_requests,
)

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_SEPARATOR_BYTES = 4
"""The colon, a space and the line break of a header."""

_LENGTH_DIGITS = 18
_LARGE_DIGITS = len(str(memory.LARGE_BYTES))

HEADER_COST_BYTES = 200
"""Approximate memory of a header of a complete request beside its characters."""


class RequestReader(protocol.Protocol):
    """Collects the parts of a request that the parser reports."""

    factory: Any

    def __init__(self) -> None:
        self.parser: Any = None
        """Dropped with the connection: the two refer to each other."""

        self.last_active_ms = 0.0
        self.framing_bytes = 0
        """Bytes since the last request, head or part of a body was complete: of a
        head, of chunk sizes or of trailers. The parser may keep all of them."""

        self.head_started_ms: float | None = None
        """When the first byte of a head arrived that is still incomplete."""

        self.refusal: codes.ResultCode | None = None
        """Why nothing more is accepted on this connection."""

        self.begin_message()

    def is_receiving(self) -> bool:
        """Return whether a request has begun and is incomplete.

        Blank lines before a request begin none.
        """
        return self.head_is_complete or self.head_started_ms is not None

    def count_read_bytes(self) -> int:
        """Return the memory of what was received of an incomplete request."""
        if not self.is_receiving():
            return 0
        if not self.head_is_complete:
            # What was received of the head includes its headers that are complete.
            received = max(self.framing_bytes, self.head_bytes)
            return received + HEADER_COST_BYTES * len(self.headers)
        count = self.count_head_bytes() + self.framing_bytes
        return count if self.is_too_large else count + self.body_bytes

    def count_head_bytes(self) -> int:
        """Return the memory of the target and the headers."""
        return self.head_bytes + HEADER_COST_BYTES * len(self.headers)

    def begin_message(self) -> None:
        """Reset the state of the request that is being parsed."""
        self.url = b""
        self.headers = _header_block.HeaderBlock()
        """Names, in lower case, and values."""

        self.expects_continue = False

        self.body = buffers.BodyBuffer()
        self.body_bytes = 0
        self.is_too_large = False
        self.head_is_complete = False
        self.head_bytes = 0
        """Bytes of the target and the headers."""

        self.continue_is_due = False
        """Whether the client waits for ``100 Continue``."""

    def on_message_begin(self) -> None:
        """Start a request and record when its head began."""
        self.begin_message()
        self.head_started_ms = self.last_active_ms

    def on_url(self, url: bytes) -> None:
        """Append a part of the path and query."""
        self.head_bytes += len(url)
        if self.head_bytes > self.factory.max_header_bytes:
            self.refusal = codes.ResultCode.BAD_REQUEST
            return
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header, with its name in lower case.

        Trailers are dropped: they must not change what the headers say.
        """
        if self.head_is_complete:
            return
        self.head_bytes += len(name) + len(value) + _SEPARATOR_BYTES
        if self.head_bytes > self.factory.max_header_bytes:
            self.refusal = codes.ResultCode.BAD_REQUEST
            return
        lower = name.lower()
        self.headers.append(lower, value)
        if lower == b"expect":
            self.expects_continue = value.lower() == b"100-continue"
        elif lower == b"content-length" and is_large(value):
            self.refuse_large()

    def on_headers_complete(self) -> None:
        """Note whether the client expects ``100 Continue`` before it sends the body."""
        self.head_is_complete = True
        self.head_started_ms = None
        self.framing_bytes = 0
        self.refuse_many_headers()
        self.continue_is_due = self.expects_continue and self.refusal is None
        if self.continue_is_due:
            self.send_continue()

    def is_next_to_answer(self) -> bool:
        """Return whether all earlier requests are answered."""
        raise NotImplementedError

    def send_continue(self) -> None:
        """Send ``100 Continue`` if it is due and no earlier answer is to be sent.

        It belongs to the answer to its request, behind all earlier ones.
        """
        if self.continue_is_due and self.is_next_to_answer():
            self.continue_is_due = False
            assert self.transport is not None
            self.transport.write(_CONTINUE)

    def refuse_large(self) -> None:
        """Refuse the request if the account takes no new large ones."""
        account = self.factory.account
        if account is not None and account.refuses_large():
            self.refuse_for_memory(account)

    def refuse_many_headers(self) -> None:
        """Refuse the request if the account takes no more of such heads."""
        account = self.factory.account
        is_small = HEADER_COST_BYTES * len(self.headers) <= memory.SMALL_BYTES
        if account is not None and not is_small and account.is_under_pressure():
            self.refuse_for_memory(account)

    def refuse_for_memory(self, account: memory.MemoryAccount) -> None:
        """Refuse the request, unless it is refused already."""
        if self.refusal is None:
            account.refused += 1
            self.refusal = codes.ResultCode.NODE_MEMORY_FULL

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body, up to ``max_body_bytes``."""
        self.framing_bytes = 0
        self.continue_is_due = False
        if self.refusal is not None:
            return
        is_small = self.body_bytes <= memory.LARGE_BYTES
        self.body_bytes += len(data)
        if is_small and self.body_bytes > memory.LARGE_BYTES:
            # The length of a chunked body is not known before.
            self.refuse_large()
        if self.body_bytes > self.factory.max_body_bytes:
            self.is_too_large = True
            self.body.clear()
        if not self.is_too_large:
            self.body.add(data)

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
        headers = list(self.headers)
        dropped = _hop_by_hop.find_hop_by_hop(
            [value for name, value in headers if name == "connection"]
        )
        forwarded = []
        control = {}
        for name, value in headers:
            if name.startswith(_headers.HEADER_PREFIX):
                control[name] = value
            elif name not in dropped:
                forwarded.append((name, value))
        return tuple(forwarded), control


def is_large(length: bytes) -> bool:
    """Return whether a ``Content-Length`` is that of a large body."""
    if len(length) < _LARGE_DIGITS or not length.isdigit():
        return False
    return len(length) > _LENGTH_DIGITS or int(length) > memory.LARGE_BYTES
