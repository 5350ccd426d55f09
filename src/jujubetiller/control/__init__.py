"""The exchange of tickets and membership between nodes."""

from jujubetiller.control._control_exchange import Addressed, ControlExchange
from jujubetiller.control._join_state import JoinState
from jujubetiller.control._messages import (
    Digest,
    Message,
    Pull,
    Push,
    measure_message,
    split_push,
)
from jujubetiller.control._peer_failure_detector import PeerFailureDetector

__all__ = [
    "Addressed",
    "ControlExchange",
    "Digest",
    "JoinState",
    "Message",
    "PeerFailureDetector",
    "Pull",
    "Push",
    "measure_message",
    "split_push",
]
