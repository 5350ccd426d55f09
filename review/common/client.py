"""A client of a node: one request, or a stream of them."""

import asyncio
import contextlib
import dataclasses
import itertools
import time

from common import http

_NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Sent:
    """A request of a client and what came of it."""

    request: str
    node: str
    path: str
    at_s: float
    status: int = 0
    """0 if the connection ended without a whole answer."""

    stamp: str = ""
    end: str = ""
    ended_s: float = 0.0


def make_id() -> str:
    """Return an id for a client attempt."""
    return f"{next(_NUMBERS):016x}"


def encode_request(
    request: str, method: str, path: str, deadline_ms: int, body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    head = {
        "Host": "hulo84.example",
        "Jujubetiller-Request-Id": request,
        "Jujubetiller-Deadline-Ms": str(deadline_ms),
    }
    return http.encode(f"{method} {path} HTTP/1.1", head, body)


async def send(
    address: tuple[str, int],
    node: str,
    method: str,
    path: str,
    deadline_ms: int,
    body: bytes = b"",
) -> Sent:
    """Send a request over a new connection and wait for its answer."""
    sent = Sent(make_id(), node, path, time.monotonic())
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(encode_request(sent.request, method, path, deadline_ms, body))
            await writer.drain()
            answer = await http.read_message(reader)
            sent.status = int(answer.start_line.split()[1])
            sent.stamp = answer.headers.get("jujubetiller-server-stamp", "")
            sent.end = "answered"
    except TimeoutError:
        sent.end = "gave up"
    except (OSError, asyncio.IncompleteReadError) as error:
        sent.end = f"connection ended: {type(error).__name__}"
    sent.ended_s = time.monotonic()
    if writer is not None:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
    return sent
