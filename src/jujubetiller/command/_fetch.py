"""One HTTP request to an admin listener."""

from typing import Any

import result
from twisted.internet import defer
from twisted.web import client

from jujubetiller import codes, settings


def fetch(
    address: settings.Address, path: str, timeout_seconds: float
) -> result.Result[bytes, codes.Problem]:
    """Return the body of ``path``, or a problem within ``timeout_seconds``.

    Runs the reactor, which a process can do once.
    """
    # The commands that need no network start faster without a reactor.
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    host = f"[{address.host}]" if ":" in address.host else address.host
    url = f"http://{host}:{address.port}{path}"
    ended: list[result.Result[bytes, codes.Problem]] = []

    async def read_body() -> bytes:
        agent = client.Agent(reactor, connectTimeout=timeout_seconds)
        response = await agent.request(b"GET", url.encode())
        body: bytes = await client.readBody(response)
        if response.code != 200:
            raise ValueError(f"HTTP status {response.code}")
        return body

    def finish(outcome: Any) -> None:
        if isinstance(outcome, bytes):
            ended.append(result.Ok(outcome))
        else:
            ended.append(
                result.Err(
                    codes.Problem(
                        codes.ResultCode.PEER_UNREACHABLE,
                        "admin",
                        f"no view from {address} within {timeout_seconds:g} s: "
                        f"{outcome.getErrorMessage() or outcome.type.__name__}",
                    )
                )
            )
        reactor.stop()

    def start() -> None:
        deferred = defer.Deferred.fromCoroutine(read_body())
        deferred.addTimeout(timeout_seconds, reactor)
        deferred.addBoth(finish)

    reactor.callWhenRunning(start)
    reactor.run()
    if not ended:
        # A signal stopped the reactor before the answer arrived.
        return result.Err(
            codes.Problem(codes.ResultCode.PEER_UNREACHABLE, "admin", "interrupted")
        )
    return ended[0]
