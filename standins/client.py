"""HTTP client with persistent connections and without automatic retries."""

from collections.abc import Mapping
from typing import Any

import attrs
import zope.interface
from twisted.internet import defer
from twisted.web import client, http_headers, iweb


@zope.interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Writes a request body from memory."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:
        """Write the whole body at once."""
        consumer.write(self.body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the body is already written."""

    def resumeProducing(self) -> None:
        """Do nothing: the body is already written."""

    def stopProducing(self) -> None:
        """Do nothing: the body is already written."""


@attrs.frozen
class Answer:
    """A complete HTTP response."""

    status: int
    headers: http_headers.Headers
    body: bytes

    def header(self, name: str) -> str:
        """Return a header, or an empty string."""
        values = self.headers.getRawHeaders(name)
        return str(values[0]) if values else ""


class Client:
    """Sends HTTP requests over a pool of persistent connections."""

    def __init__(self, reactor: Any, connections: int = 256) -> None:
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = connections
        # An uncounted retry by the pool would invalidate the at-most-once checks.
        pool.retryAutomatically = False
        self.agent = client.Agent(reactor, connectTimeout=2, pool=pool)

    async def call(
        self, method: str, url: str, headers: Mapping[str, str], body: bytes
    ) -> Answer:
        """Send one request and read the response; cancelling closes the connection."""
        response = await self.agent.request(
            method.encode(),
            url.encode(),
            http_headers.Headers({name: [text] for name, text in headers.items()}),
            BytesProducer(body) if body else None,
        )
        content = await client.readBody(response)
        return Answer(response.code, response.headers, content)
