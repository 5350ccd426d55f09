"""Opening of connections to the target."""

from typing import TYPE_CHECKING

from twisted.internet import interfaces, protocol
from twisted.python import failure

from jujubetiller import codes
from jujubetiller.target import _target_call, _target_connection

if TYPE_CHECKING:
    from jujubetiller.target import _target_client


class TargetConnectionFactory(protocol.ClientFactory):
    """Opens one connection for a call that waits for it."""

    noisy = False

    def __init__(
        self, client: "_target_client.TargetClient", call: _target_call.TargetCall
    ) -> None:
        self.client = client
        self.call: _target_call.TargetCall | None = call
        """The call until the connection is open. The factory exists as long as the
        connection, which must not keep the request in memory."""

    def buildProtocol(
        self, address: interfaces.IAddress | None
    ) -> _target_connection.TargetConnection:
        """Return the connection; it sends the call once it is open."""
        call, self.call = self.call, None
        assert call is not None
        return _target_connection.TargetConnection(self.client, call)

    def clientConnectionFailed(
        self, connector: interfaces.IConnector, reason: failure.Failure
    ) -> None:
        """Report that the call was never sent."""
        self.client.statistics.connections_failed += 1
        assert self.call is not None
        self.call.fail(codes.ResultCode.TARGET_UNREACHABLE)
