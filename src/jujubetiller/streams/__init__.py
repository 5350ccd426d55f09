"""Streams between nodes: calls, seals and control messages over TCP."""

from jujubetiller.streams._close_within import close_within
from jujubetiller.streams._outgoing_call import OutgoingCall
from jujubetiller.streams._peer_identity import PeerIdentity
from jujubetiller.streams._stream_handler import StreamHandler
from jujubetiller.streams._stream_pool import StreamPool
from jujubetiller.streams._stream_statistics import StreamStatistics

__all__ = [
    "OutgoingCall",
    "PeerIdentity",
    "StreamHandler",
    "StreamPool",
    "StreamStatistics",
    "close_within",
]
