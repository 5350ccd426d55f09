"""The interface between a listener and the node."""

import abc
from collections.abc import Callable

from jujubetiller import codes
from jujubetiller.edge import _edge_message, _edge_reply


class EdgeHandler(abc.ABC):
    """Handles the requests of one listener."""

    @abc.abstractmethod
    def handle(
        self,
        message: _edge_message.EdgeMessage,
        reply: Callable[[_edge_reply.EdgeReply], None],
    ) -> Callable[[], None]:
        """Handle ``message`` and call ``reply`` once.

        Returns the function that the listener calls if the caller disconnects
        before the reply; a reply after that is dropped.
        """

    @abc.abstractmethod
    def refuse(self, code: codes.ResultCode, detail: str) -> _edge_reply.EdgeReply:
        """Return the answer for a request that the listener itself refuses."""

    @abc.abstractmethod
    def is_draining(self) -> bool:
        """Return whether connections are to be closed after their answer."""


def do_nothing() -> None:
    """Serve as the cancel function of a request that is already answered."""
