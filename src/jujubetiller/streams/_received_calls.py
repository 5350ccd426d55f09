"""Which calls of a stream were received, for the caller that has lost the stream."""

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from jujubetiller.streams import _peer_identity, _server_stream

MAX_CLOSED_STREAMS = 1_024
"""Closed streams that are remembered; callers ask right after they lost one."""


@attrs.frozen
class StreamKey:
    """Identifies a stream among those of all callers."""

    instance: str
    boot_id: str
    """Of the process that opened the stream."""

    stream_id: str

    @classmethod
    def of(cls, peer: "_peer_identity.PeerIdentity", stream_id: str) -> "StreamKey":
        """Return the key of the stream that ``peer`` named ``stream_id``."""
        return cls(peer.instance, peer.boot_id, stream_id)


class ReceivedCalls:
    """Remembers the last call of each stream that callers have opened.

    A caller that has lost a stream does not know which of the calls that it wrote were
    received. Calls are received in the order of their ids, and none once the stream is
    closed here, so the last id tells it which of them never ran.
    """

    def __init__(self) -> None:
        self.open: dict[StreamKey, _server_stream.ServerStream] = {}
        self.closed: collections.OrderedDict[StreamKey, int] = collections.OrderedDict()
        """The last call ids of closed streams, the latest stream last."""

    def add(self, key: StreamKey, stream: "_server_stream.ServerStream") -> None:
        """Record a stream whose caller has named it."""
        self.open[key] = stream

    def remove(self, key: StreamKey, last_call_id: int) -> None:
        """Record that a stream is closed; it receives nothing more."""
        self.open.pop(key, None)
        self.closed[key] = last_call_id
        if len(self.closed) > MAX_CLOSED_STREAMS:
            self.closed.popitem(last=False)

    def end_stream(self, key: StreamKey) -> int | None:
        """Close a stream and return its last call id, or None if it is not known."""
        stream = self.open.get(key)
        if stream is None:
            return self.closed.get(key)
        stream.abort("reconciled")
        return stream.last_call_id
