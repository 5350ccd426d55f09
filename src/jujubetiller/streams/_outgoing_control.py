"""A control message sent to a peer."""

from typing import TYPE_CHECKING

from jujubetiller import codes, frames
from jujubetiller.streams import _outgoing, _stream_statistics

if TYPE_CHECKING:
    from jujubetiller.streams import _caller_stream


class OutgoingControl(_outgoing.Outgoing):
    """A control message; it is dropped and counted when no stream opens."""

    __slots__ = ("message", "statistics")

    def __init__(
        self,
        message: frames.Digest | frames.Pull | frames.Push,
        statistics: _stream_statistics.StreamStatistics,
    ) -> None:
        self.message = message
        self.statistics = statistics

    def has_ended(self) -> bool:
        """Return False: a control message has no deadline."""
        return False

    def send_on(self, stream: "_caller_stream.CallerStream") -> None:
        """Write the message."""
        stream.send_control(self.message)

    def refuse(self, code: codes.ResultCode) -> None:
        """Count the dropped message."""
        self.statistics.refusals[f"control_{code.name.lower()}"] += 1

    def expire(self) -> None:
        """Do nothing: a control message has no deadline."""
