"""Interface through which a node handles messages from its peers."""

import abc
from collections.abc import Callable

from jujubetiller import calls, frames
from jujubetiller.streams import _peer_identity


class StreamHandler(abc.ABC):
    """Receives calls and messages of all streams of a node.

    The methods run in the reactor thread and must not block. Every ``reply`` may
    be called at once or later; a reply after the first one, or after the stream
    is lost, is dropped.
    """

    @abc.abstractmethod
    def handle_call(
        self,
        request: calls.CallRequest,
        reply: Callable[[calls.CallAnswer], None],
    ) -> Callable[[], None]:
        """Run a request, whose body is complete, and return a cancel function.

        The cancel function is called at most once, when the caller cancels or
        the stream is lost, and never after ``reply``.
        """

    @abc.abstractmethod
    def handle_seal(self, key: str, reply: Callable[[bool], None]) -> None:
        """Seal an execution key and reply whether it never ran and never will."""

    @abc.abstractmethod
    def handle_control(
        self,
        peer: _peer_identity.PeerIdentity,
        message: frames.Digest | frames.Pull | frames.Push,
        reply: Callable[[frames.Digest | frames.Pull | frames.Push], None],
    ) -> None:
        """Handle a control message; ``reply`` may be called any number of times."""

    @abc.abstractmethod
    def peer_connected(self, peer: _peer_identity.PeerIdentity) -> None:
        """Handle a stream that became ready; called once per stream."""

    @abc.abstractmethod
    def peer_lost(self, peer: _peer_identity.PeerIdentity, reason: str) -> None:
        """Handle the loss of a stream that was ready; called once per stream."""

    @abc.abstractmethod
    def peer_draining(self, peer: _peer_identity.PeerIdentity) -> None:
        """Handle the notice that a peer accepts no new calls."""
