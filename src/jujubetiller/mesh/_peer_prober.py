"""Probes of unreachable nodes."""

from jujubetiller import routing, streams
from jujubetiller.mesh import _mesh_parts

PROBE_INTERVAL_MS = 300.0
"""Pause between two probes of a node."""

CONNECT_TIMEOUT_MS = 300.0


class PeerProber:
    """Opens streams to unreachable nodes until they succeed, and notifies the router.

    Requests are not used as probes, because each would wait for a connection that
    most likely fails.
    """

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        self.parts = parts
        self.probed: dict[str, routing.RoutableInstance] = {}

    def start_probing(self, instance: routing.RoutableInstance) -> None:
        """Start probing the node of ``instance``, unless it is probed already."""
        is_probed = instance.instance in self.probed
        self.probed[instance.instance] = instance
        if not is_probed:
            self._schedule(instance.instance)

    def _schedule(self, name: str) -> None:
        self.parts.reactor.callLater(PROBE_INTERVAL_MS / 1000.0, self._probe, name)

    def _probe(self, name: str) -> None:
        instance = self.probed[name]
        if not self.parts.router.is_routable(instance) or self.parts.state.draining:
            del self.probed[name]
            return

        def ended(identity: streams.PeerIdentity | None) -> None:
            self._probe_ended(instance, identity)

        self.parts.pool.connect(instance.address, CONNECT_TIMEOUT_MS, ended)

    def _probe_ended(
        self,
        instance: routing.RoutableInstance,
        identity: streams.PeerIdentity | None,
    ) -> None:
        if identity is None or identity.draining:
            self._schedule(instance.instance)
            return
        del self.probed[instance.instance]
        self.parts.router.mark_reachable(instance)
