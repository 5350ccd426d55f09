"""A client that sends requests to the node of its machine."""

import asyncio
import dataclasses

from review.second import http


@dataclasses.dataclass
class Sent:
    """A request and its answer; status 0 stands for none."""

    request: str
    machine: str
    sent_at: float
    path: str
    status: int = 0
    answered_at: float = 0.0
    is_whole: bool = False
    body: str = ""


def make_headers(request: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a request."""
    return {
        "Host": "a.example",
        "Jujubetiller-Request-Id": request,
        "Jujubetiller-Deadline-Ms": str(deadline_ms),
    }


async def send(
    host: str,
    port: int,
    request: str,
    path: str,
    method: str = "POST",
    deadline_ms: int = 2_500,
) -> Sent:
    """Send a request on a new connection and wait for its answer until its limit."""
    loop = asyncio.get_running_loop()
    sent = Sent(request, host, loop.time(), path)
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000.0):
            reader, writer = await asyncio.open_connection(host, port)
            data = http.encode_request(method, path, make_headers(request, deadline_ms))
            writer.write(data)
            answer = await http.read_message(reader)
        sent.status, sent.is_whole = answer.status, True
        sent.body = answer.body.decode("latin-1")
    except (*http.CLOSED, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    sent.answered_at = loop.time()
    return sent
