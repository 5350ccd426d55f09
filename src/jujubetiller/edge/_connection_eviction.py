"""The choice of connections that are closed when a listener has no room for more."""

import enum
import heapq
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from jujubetiller import codes, transports

if TYPE_CHECKING:
    from jujubetiller.edge import _pipelined_connection

    Connection = _pipelined_connection.PipelinedConnection

EVICTED_SHARE = 0.02
"""Part of the connections that is closed at once. All connections are compared for it,
which would take too long for each new connection."""


class Standing(enum.IntEnum):
    """What a connection does; those with a lower value are closed first."""

    WITHOUT_REQUEST = 0
    """It is idle, or the head of its request is incomplete."""

    RECEIVING_BODY = 1

    UNTAKEN_ANSWER = 2
    """All requests are answered, but the client has not taken the answers."""

    BUSY = 3
    """Requests wait or run. It is not closed for others."""


def choose_evicted(
    connections: Iterable["Connection"], capacity: int
) -> "list[Connection]":
    """Return the connections to close so that there is room for some new ones.

    Of those with the same standing, the ones that have waited longest for an answer to
    a request come first: a client can keep a connection active by sending little.
    """
    candidates = [
        (standing, connection.served_at_ms, number, connection)
        for number, connection in enumerate(connections)
        if (standing := find_standing(connection)) is not Standing.BUSY
    ]
    chosen = heapq.nsmallest(max(1, int(EVICTED_SHARE * capacity)), candidates)
    return [connection for *_, connection in chosen]


def find_standing(connection: "Connection") -> Standing:
    """Return what ``connection`` does."""
    if connection.requests or connection.waiting:
        return Standing.BUSY
    if has_untaken_answer(connection):
        return Standing.UNTAKEN_ANSWER
    if connection.head_is_complete:
        return Standing.RECEIVING_BODY
    return Standing.WITHOUT_REQUEST


def has_untaken_answer(connection: "Connection") -> bool:
    """Return whether a part of an answer is not sent yet."""
    is_sending = connection.sender is not None
    return is_sending or transports.count_unsent(connection.transport) > 0


def close_for_room(connection: "Connection") -> None:
    """Close ``connection`` for a new one.

    The request that is read is refused. An answer that its client does not take is
    dropped.
    """
    if connection.is_receiving() and not has_untaken_answer(connection):
        connection.refuse_request(codes.ResultCode.TOO_MANY_CONNECTIONS)
    if has_untaken_answer(connection):
        transport: Any = connection.transport
        transport.abortConnection()
    else:
        connection.loseConnection()
