"""Closing of a stream pool with a timeout."""

from typing import Any

from twisted.internet import defer

from jujubetiller.streams import _stream_pool


def close_within(
    reactor: Any, pool: _stream_pool.StreamPool, timeout_ms: float
) -> defer.Deferred[None]:
    """Close ``pool`` and abort the streams still open after ``timeout_ms``.

    The deferred fires when the last stream is closed.
    """
    abort_timer = reactor.callLater(timeout_ms / 1000.0, pool.abort)

    def closed(_: None) -> None:
        if abort_timer.active():
            abort_timer.cancel()

    return pool.close().addCallback(closed)
