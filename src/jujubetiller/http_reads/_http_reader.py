"""HTTP reads with limits on time and size."""

from typing import Any

import attrs
import result
from twisted.internet import defer, interfaces
from twisted.python import failure
from twisted.web import client, http_headers, iweb

from jujubetiller import settings
from jujubetiller.http_reads import _body_protocol, _read_problem

CONNECT_TIMEOUT_S = 1.0

IDLE_CONNECTIONS = 4


@attrs.frozen
class HttpAnswer:
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: http_headers.Headers = attrs.field(factory=http_headers.Headers)


Answer = result.Result[HttpAnswer, _read_problem.ReadProblem]


class HttpReader:
    """Sends GET requests to one address over a few persistent connections."""

    def __init__(
        self, reactor: Any, address: settings.Address, agent: iweb.IAgent | None = None
    ) -> None:
        self.reactor: interfaces.IReactorTime = reactor
        self.address = address
        self.pool: client.HTTPConnectionPool | None = None
        if agent is None:
            self.pool = client.HTTPConnectionPool(reactor, persistent=True)
            self.pool.maxPersistentPerHost = IDLE_CONNECTIONS
            self.pool.retryAutomatically = False
            agent = client.Agent(
                reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self.pool
            )
        self.agent = agent

    def get(
        self, path: str, timeout_ms: float, max_body_bytes: int
    ) -> defer.Deferred[Answer]:
        """Return the answer for ``path``; the deferred never fails.

        A read that is not complete after ``timeout_ms`` is cancelled and its
        connection closed, because a connection can stop responding permanently
        while new ones work.
        """
        uri = f"http://{_host_for_uri(self.address.host)}:{self.address.port}{path}"
        cancel_reasons: list[_read_problem.ReadProblem] = []

        def cancel_read(problem: _read_problem.ReadProblem) -> None:
            cancel_reasons.append(problem)
            sent.cancel()
            if problem is _read_problem.ReadProblem.SILENT:
                # Idle connections may have gone silent together with this one.
                self.close()

        done: defer.Deferred[Answer] = defer.Deferred(
            lambda _: cancel_read(_read_problem.ReadProblem.CANCELLED)
        )
        sent: defer.Deferred[Any] = self.agent.request(
            b"GET", uri.encode(), http_headers.Headers({}), None
        )
        sent.addCallback(_read_body, max_body_bytes)
        timer = self.reactor.callLater(
            timeout_ms / 1_000, cancel_read, _read_problem.ReadProblem.SILENT
        )

        def finish(outcome: Answer | failure.Failure) -> None:
            if timer.active():
                timer.cancel()
            if isinstance(outcome, failure.Failure):
                outcome = result.Err(_describe_failure(outcome, cancel_reasons))
            if not done.called:
                done.callback(outcome)

        sent.addBoth(finish)
        return done

    def close(self) -> defer.Deferred[None]:
        """Close idle connections."""
        if self.pool is None:
            return defer.succeed(None)
        return self.pool.closeCachedConnections()


def _read_body(response: iweb.IResponse, max_body_bytes: int) -> defer.Deferred[Answer]:
    body = _body_protocol.BodyProtocol(max_body_bytes)
    response.deliverBody(body)
    return body.finished.addCallback(
        lambda content: result.Ok(HttpAnswer(response.code, content, response.headers))
    )


def _host_for_uri(host: str) -> str:
    return f"[{host}]" if ":" in host else host


def _describe_failure(
    reason: failure.Failure, cancel_reasons: list[_read_problem.ReadProblem]
) -> _read_problem.ReadProblem:
    if cancel_reasons:
        return cancel_reasons[0]
    if reason.check(_body_protocol.BodyTooLargeError):
        return _read_problem.ReadProblem.BAD_ANSWER
    return _read_problem.ReadProblem.UNREACHABLE
