"""A request to the target."""

import attrs

from jujubetiller import calls


@attrs.define
class TargetRequest:
    """One HTTP request as it is written to the target."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: calls.Deadline

    echo: tuple[str, str] | None = None
    """Name, in lower case, and value of a header that the target echoes in its
    response. A response with another value belongs to an earlier request."""


def encode_request(request: TargetRequest) -> bytes:
    """Return the bytes of ``request`` in HTTP/1.1.

    The edge has already checked that names and values contain no line breaks.
    """
    return encode_head(request) + request.body


def encode_head(request: TargetRequest) -> bytes:
    """Return the bytes of ``request`` before its body."""
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    lines.append(f"Content-Length: {len(request.body)}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1")
