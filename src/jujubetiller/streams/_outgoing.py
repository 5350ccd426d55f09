"""Base class of operations that need a stream to a peer."""

import abc
from typing import TYPE_CHECKING

from jujubetiller import codes
from jujubetiller.streams import _wheel_item

if TYPE_CHECKING:
    from jujubetiller.streams import _caller_stream


class Outgoing(_wheel_item.WheelItem):
    """A call, seal request, control message or connect request to a peer."""

    __slots__ = ()

    @abc.abstractmethod
    def has_ended(self) -> bool:
        """Return whether the operation has ended and needs no stream."""

    @abc.abstractmethod
    def send_on(self, stream: "_caller_stream.CallerStream") -> None:
        """Perform the operation on a stream that is ready."""

    @abc.abstractmethod
    def refuse(self, code: codes.ResultCode) -> None:
        """End the operation, of which nothing was written to a stream."""
