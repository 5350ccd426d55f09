"""Reading of a response body up to a size limit."""

from twisted.internet import defer, protocol
from twisted.python import failure
from twisted.web import client, http

from jujubetiller import buffers


class BodyTooLargeError(Exception):
    """Raised when a body exceeds the size limit."""


class BodyProtocol(protocol.Protocol):
    """Collects a body and fires ``finished`` with it or with an error.

    The connection is aborted when the body exceeds ``max_bytes``.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.received = buffers.BodyBuffer()
        self.size = 0
        self.finished: defer.Deferred[bytes] = defer.Deferred(self._abort)

    def dataReceived(self, data: bytes) -> None:
        """Collect a part of the body."""
        self.size += len(data)
        if self.size > self.max_bytes:
            self._fail(BodyTooLargeError(f"more than {self.max_bytes} bytes"))
            self._abort(self.finished)
            return
        self.received.add(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Finish; the body is complete only if its length or framing confirms it."""
        if reason.check(client.ResponseDone):
            if not self.finished.called:
                self.finished.callback(self.received.take())
        else:
            self._fail(reason.value or http.PotentialDataLoss())

    def _fail(self, error: BaseException) -> None:
        if not self.finished.called:
            self.finished.errback(failure.Failure(error))

    def _abort(self, finished: defer.Deferred[bytes]) -> None:
        if self.transport is not None:
            stop = getattr(self.transport, "abortConnection", None)
            (stop or self.transport.loseConnection)()
