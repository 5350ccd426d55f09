"""Immediate sending on a TCP transport."""

from typing import Any

from twisted.internet import abstract


def send_now(transport: Any, data: bytes) -> None:
    """Write ``data`` to the socket at once and queue the unsent rest in Twisted.

    Twisted's ``write`` queues data, registers the socket for write events and sends
    after the next poll, which costs three system calls and one reactor turn more
    for each message of a call. ``write`` is still used when data is already queued,
    when the transport is closing, and when it is not a socket.
    """
    if (
        not isinstance(transport, abstract.FileDescriptor)
        or transport.dataBuffer
        or transport._tempDataBuffer
        or transport.disconnecting
        or not transport.connected
    ):
        transport.write(data)
        return
    sent = transport.writeSomeData(data)
    if not isinstance(sent, int) or sent < 0:
        # Twisted sends the data again, so that the reactor detects the failure.
        sent = 0
    if sent < len(data):
        transport.write(data[sent:] if sent else data)
