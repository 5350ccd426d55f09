"""The listener of an instance that can crash and start again."""

from collections.abc import Callable
from typing import Any

from jujubetiller import edge
from standins.mesh_site import _crash_plan, _instance_site


class InstanceListener:
    """Listens for an instance; a crash resets its connections and closes the port."""

    def __init__(
        self,
        reactor: Any,
        site: _instance_site.InstanceSite,
        crash_plan: _crash_plan.CrashPlan,
        make_factory: Callable[[edge.EdgeHandler], edge.EdgeFactory],
        host: str,
        port: int,
    ) -> None:
        self.reactor = reactor
        self.site = site
        self.crash_plan = crash_plan
        self.make_factory = make_factory
        self.host = host
        self.port = port
        self.factory: edge.EdgeFactory | None = None
        self.listening: Any = None
        site.crash_plan = crash_plan
        site.crash = self.crash

    def open(self) -> None:
        """Start to listen."""
        self.factory = self.make_factory(self.site)
        self.listening = self.reactor.listenTCP(
            self.port, self.factory, interface=self.host
        )

    def crash(self) -> None:
        """End the instance without notice; it listens again a while later."""
        factory, self.factory = self.factory, None
        if factory is None:
            return
        self.listening.stopListening()
        for channel in tuple(factory.channels):
            channel.transport.abortConnection()  # type: ignore[union-attr]
        self.reactor.callLater(self.crash_plan.down_ms / 1000.0, self.open)
