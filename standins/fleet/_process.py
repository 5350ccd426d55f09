"""The reactor of a simulated process."""

from typing import TYPE_CHECKING, Any

import zope.interface
from twisted.internet import error, interfaces, task

from standins.fleet import _connector, _port, _resolver

if TYPE_CHECKING:
    from standins.fleet import network as fleet_network


@zope.interface.implementer(interfaces.IReactorPluggableNameResolver)
class Process(task.Clock):
    """The reactor of one simulated process; it can be frozen and killed.

    A frozen process keeps its timers and unread bytes. Its clock jumps when it is
    thawed, as after SIGSTOP and SIGCONT.
    """

    nameResolver = _resolver.Resolver()

    def __init__(self, network: "fleet_network.Network", name: str, zone: str) -> None:
        super().__init__()
        self.network = network
        self.name = name
        self.zone = zone
        self.is_frozen = False
        self.is_dead = False
        self.clock_lag_s = 0.0

    def pass_time(self, duration_s: float) -> None:
        """Advance the clock; call ``advance`` only when a timer is due."""
        if self.calls and self.calls[0].getTime() <= self.rightNow + duration_s:
            self.advance(duration_s)
        else:
            self.rightNow += duration_s

    def installNameResolver(self, resolver: Any) -> Any:
        """Ignore ``resolver``: the one for IP addresses stays installed."""
        return self.nameResolver

    def listenTCP(
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> _port.Port:
        """Accept connections at ``port``, or at a free port for 0."""
        return self.network.listen(self, port, factory, interface)

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, **rest: Any
    ) -> _connector.Connector:
        """Start to connect; ``Network.settle`` makes the connection."""
        number = self.network.find_number(host, port)
        connector = _connector.Connector(self, number, factory)
        factory.startedConnecting(connector)
        connector.timer = self.callLater(timeout, connector.fail, error.TimeoutError())
        self.network.connecting.append(connector)
        return connector
