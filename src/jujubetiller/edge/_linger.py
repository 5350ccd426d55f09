"""The end of a connection whose client still sends a refused request."""

from typing import TYPE_CHECKING, Any

from jujubetiller import codes

if TYPE_CHECKING:
    from jujubetiller.edge import _pipelined_connection

LINGER_MS = 1_000.0
"""Time for a refused client to take the answer while it still sends."""

MAX_LINGERING = 64
"""Connections that linger at the same time; others are closed at once."""


def linger(connection: "_pipelined_connection.PipelinedConnection") -> bool:
    """Discard the rest of a body that is refused for lack of memory, for a while.

    The operating system drops an answer that is not taken yet when a connection with
    unread bytes is closed. Returns whether the connection stays open.
    """
    factory = connection.factory
    transport: Any = connection.transport
    half_close = getattr(transport, "loseWriteConnection", None)
    is_refused = connection.refusal is codes.ResultCode.NODE_MEMORY_FULL
    if not is_refused or half_close is None:
        return False
    if factory.lingering >= MAX_LINGERING or connection.is_lingering:
        return connection.is_lingering
    connection.is_lingering = True
    factory.lingering += 1
    half_close()
    transport.resumeProducing()
    factory.reactor.callLater(LINGER_MS / 1000.0, _end, connection)
    return True


def _end(connection: "_pipelined_connection.PipelinedConnection") -> None:
    connection.factory.lingering -= 1
    transport: Any = connection.transport
    if transport is not None:
        transport.abortConnection()
