"""An HTTP request of a client or of the node's own target."""

import io
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.python import failure
from twisted.web import http

from jujubetiller import codes, transports
from jujubetiller.edge import (
    _edge_message,
    _edge_reply,
    _encode_reply,
    _headers,
    _hop_by_hop,
)

if TYPE_CHECKING:
    from jujubetiller.edge import _edge_factory


class EdgeRequest(http.Request):
    """Passes a request to the handler, without the resource tree of ``twisted.web``.

    The body is buffered in memory, up to ``max_body_bytes``, because the VMs have no
    disks.
    """

    body_bytes = 0
    is_too_large = False
    cancel: Callable[[], None] | None = None

    @property
    def edge_factory(self) -> "_edge_factory.EdgeFactory":
        """The factory of the connection."""
        return self.channel.factory

    def gotLength(self, length: int | None) -> None:
        """Create the buffer of the body and check ``length`` if it is known."""
        self.content = io.BytesIO()
        self.is_too_large = (
            length is not None and length > self.edge_factory.max_body_bytes
        )

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer a part of the body, up to ``max_body_bytes``."""
        self.body_bytes += len(data)
        if self.body_bytes > self.edge_factory.max_body_bytes:
            self.is_too_large = True
        if not self.is_too_large:
            assert self.content is not None
            self.content.write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process the complete request.

        The base class would parse forms and cookies, which belong to the target.
        """
        assert self.content is not None
        self.method, self.uri, self.clientproto = command, path, version
        self.process()

    def process(self) -> None:
        """Pass the request to the handler, or refuse it."""
        handler = self.edge_factory.handler
        if self.is_too_large:
            self.edge_factory.bodies_refused += 1
            detail = f"body: at most {self.edge_factory.max_body_bytes} bytes"
            self.refuse(codes.ResultCode.BODY_TOO_LARGE, detail)
            return
        message = self.make_message()
        if message is None:
            detail = "path and headers: only printable characters are allowed"
            self.refuse(codes.ResultCode.BAD_REQUEST, detail)
            return
        self.cancel = handler.handle(message, self.send)

    def refuse(self, code: codes.ResultCode, detail: str) -> None:
        """Answer a request that is not passed to the handler.

        For a request with a key the code is ``KEY_NOT_SEALED``: it is unknown whether
        the key has run, since an earlier request with it may have run and the owner
        of the key has not been queried.
        """
        if self.requestHeaders.hasHeader(_headers.KEY_HEADER):
            code = codes.ResultCode.KEY_NOT_SEALED
        self.send(self.edge_factory.handler.refuse(code, detail))

    def make_message(self) -> _edge_message.EdgeMessage | None:
        """Return the message, or ``None`` if the path is not printable ASCII."""
        method, path = self.method.decode("latin-1"), self.uri.decode("latin-1")
        if not (path.startswith("/") and path.isascii() and path.isprintable()):
            return None
        dropped = _hop_by_hop.find_hop_by_hop(
            self.requestHeaders.getRawHeaders("connection") or ()
        )
        forwarded = []
        control = {}
        for raw_name, raw_values in self.requestHeaders.getAllRawHeaders():
            name = raw_name.decode("latin-1").lower()
            for raw_value in raw_values:
                value = raw_value.decode("latin-1")
                if name.startswith(_headers.HEADER_PREFIX):
                    control[name] = value
                elif name not in dropped:
                    forwarded.append((name, value))
        assert isinstance(self.content, io.BytesIO)
        return _edge_message.EdgeMessage(
            method, path, tuple(forwarded), control, self.content.getvalue()
        )

    def send(self, reply: _edge_reply.EdgeReply) -> None:
        """Write ``reply`` in a single write, unless the caller has disconnected.

        The base class would write the headers and the body separately.
        """
        self.cancel = None
        if self._disconnected or self.finished:
            return
        channel = self.channel
        if self.edge_factory.handler.is_draining():
            channel.persistent = False
        data = _encode_reply.encode_reply(
            reply, bool(channel.persistent), self.method == b"HEAD"
        )
        self.startedWriting = 1
        self.sentLength = len(reply.body)
        transports.send_now(channel.transport, data)
        self.finish()  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: failure.Failure) -> None:
        """Cancel the request of a caller that disconnected."""
        cancel, self.cancel = self.cancel, None
        super().connectionLost(reason)  # type: ignore[no-untyped-call]
        if cancel is not None:
            cancel()
