"""Writing to Twisted transports without an extra reactor turn or copy."""

from jujubetiller.transports._body_producer import (
    BodyProducer,
    count_unread,
    count_unsent,
    sends_in_parts,
)
from jujubetiller.transports._send_now import send_now

__all__ = [
    "BodyProducer",
    "count_unread",
    "count_unsent",
    "send_now",
    "sends_in_parts",
]
