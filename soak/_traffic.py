"""Clients that keep their connections open and never retry a request."""

import random
from typing import Any

import attrs
from twisted.internet import defer, error, task
from twisted.web import client as web_client

from soak import _site
from standins import client

DEADLINE_MS = 2_000
REQUEST_TIMEOUT_S = 8.0
"""Time-out of a request at the client; no node may hold a request this long."""

PAUSE_S = 0.04
NON_IDEMPOTENT = ("book", "log")
ROUTES = ("get", "get", *NON_IDEMPOTENT)
NEWEST_SHARE = 0.2
"""The share of requests that use the newest route."""


CRASHING_SHARE = 0.1
"""The share of copies of a request that crashes instances, while there is one."""


@attrs.define
class Attempt:
    """One request of a client and how it ended."""

    request: str
    route: str
    node: str

    lifetime: int
    """The process of the node that received the request, as known when it was sent."""

    sent_at_s: float
    ended_at_s: float = 0.0

    status: int | None = None
    """None if the connection ended without an answer."""

    body: bytes = b""

    name: str = ""
    """The last part of the path; empty for one that is unique to this request."""

    @property
    def path(self) -> str:
        """The path of the request."""
        return f"/{self.route}/{self.name or self.request}"


class Traffic:
    """Sends requests through all nodes until it is stopped."""

    def __init__(
        self, reactor: Any, site: _site.SoakSite, source: random.Random, clients: int
    ) -> None:
        self.reactor = reactor
        self.site = site
        self.source = source
        self.clients = clients
        self.attempts: list[Attempt] = []
        self.is_stopped = False

    def start(self) -> "defer.Deferred[Any]":
        """Start sending; the deferred fires when all clients have stopped."""
        names = list(self.site.nodes)
        loops = [
            defer.ensureDeferred(self._run(names[number % len(names)], number))
            for number in range(self.clients)
        ]
        return defer.gatherResults(loops, consumeErrors=True)

    async def _run(self, name: str, number: int) -> None:
        sender = client.Client(self.reactor, connections=1)
        while not self.is_stopped:
            await self.send(sender, name, f"c{number}-{len(self.attempts)}")
            await task.deferLater(self.reactor, PAUSE_S * self.source.random())

    async def send(self, sender: client.Client, name: str, request: str) -> Attempt:
        """Send one request and record how it ended."""
        node = self.site.nodes[name]
        route = self.source.choice(ROUTES)
        if self.source.random() < NEWEST_SHARE:
            route = f"v{self.site.version}"
        attempt = Attempt(request, route, name, node.lifetime, self.reactor.seconds())
        crashing = self.site.crashing
        if crashing is not None and self.source.random() < CRASHING_SHARE:
            route, attempt.name = crashing
            attempt.route = route
        self.attempts.append(attempt)
        url = f"http://{node.inner}:{self.site.port('egress')}{attempt.path}"
        headers = {
            "Host": "a.example",
            "Jujubetiller-Request-Id": request,
            "Jujubetiller-Deadline-Ms": str(DEADLINE_MS),
        }
        method = "POST" if route in NON_IDEMPOTENT else "GET"
        call = defer.ensureDeferred(sender.call(method, url, headers, b""))
        call.addTimeout(REQUEST_TIMEOUT_S, self.reactor)
        try:
            answer = await call
            attempt.status, attempt.body = answer.status, answer.body
        except (
            error.ConnectionLost,
            error.ConnectionDone,
            error.ConnectError,
            defer.TimeoutError,
            defer.CancelledError,
            web_client.ResponseFailed,
            web_client.RequestTransmissionFailed,
            web_client.RequestNotSent,  # type: ignore[attr-defined]
        ):
            attempt.status = None
        attempt.ended_at_s = self.reactor.seconds()
        return attempt
