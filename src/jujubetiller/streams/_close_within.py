"""The bounded end of a stream pool."""

from typing import Any

from twisted.internet import defer

from jujubetiller.streams import _stream_pool


def close_within(
    reactor: Any, pool: _stream_pool.StreamPool, timeout_ms: float
) -> defer.Deferred[None]:
    """Close ``pool`` and abort what is still open after ``timeout_ms``.

    The result fires when the last stream is closed.
    """
    bound = reactor.callLater(timeout_ms / 1000.0, pool.abort)

    def closed(_: None) -> None:
        if bound.active():
            bound.cancel()

    return pool.close().addCallback(closed)
