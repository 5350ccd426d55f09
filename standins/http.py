"""Request parsing and JSON responses for the stand-ins' HTTP services."""

import json
from typing import Any

from twisted.web import http, resource, server


def answer_json(request: server.Request, status: int, document: Any) -> None:
    """Send ``document`` unless the request is finished or its connection closed."""
    if request._disconnected or request.finished:
        return
    body = b"" if document is None else json.dumps(document).encode()
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    request.setHeader(b"Content-Length", str(len(body)).encode())
    if body:
        request.write(body)
    request.finish()


def read_header(request: server.Request, name: str) -> str:
    """Return a header of ``request``, or an empty string."""
    value = request.getHeader(name)
    return value if isinstance(value, str) else ""


def read_argument(request: server.Request, name: str, default: str = "") -> str:
    """Return a query parameter of ``request``, or ``default``."""
    values = (request.args or {}).get(name.encode())
    return values[0].decode() if values else default


def read_body(request: server.Request) -> bytes:
    """Return the whole body of ``request``."""
    return request.content.read() if request.content is not None else b""


class Handler(resource.Resource):
    """A leaf resource: ``handle`` gets the requests for all paths."""

    isLeaf = True

    def __init__(self) -> None:
        super().__init__()  # type: ignore[no-untyped-call]

    def render(self, request: server.Request) -> int:
        """Pass the request to ``handle``; answer 400 if it rejects the input."""
        try:
            self.handle(request)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            answer_json(request, http.BAD_REQUEST, {"error": repr(error)})
        return server.NOT_DONE_YET

    def handle(self, request: server.Request) -> None:
        """Answer ``request`` at once or asynchronously."""
        raise NotImplementedError
