"""The HTTP listeners of a node."""

import attrs
from twisted.internet import interfaces

from jujubetiller import edge, settings
from jujubetiller.mesh import _connection_watch, _mesh_parts

EGRESS = "egress"
READINESS = "readiness"
METRICS = "metrics"

PIPELINE_DEPTH = 8
"""Requests of one connection that are processed concurrently."""

MAX_STATUS_BODY_BYTES = 1_024
"""Requests for readiness and metrics have no body."""


@attrs.frozen
class ListenerLimits:
    """What the clients of a listener may occupy."""

    max_body_bytes: int
    max_connections: int


def find_limits(name: str, node_settings: settings.MeshSettings) -> ListenerLimits:
    """Return the limits of the listener ``name``."""
    connections = node_settings.connections
    if name == EGRESS:
        max_body_bytes = node_settings.streams.max_body_bytes
        return ListenerLimits(max_body_bytes, connections.count_clients())
    return ListenerLimits(MAX_STATUS_BODY_BYTES, connections.count_status())


class HttpListeners:
    """Opens the HTTP listeners, and applies the settings to them."""

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        ports: dict[str, interfaces.IListeningPort],
    ) -> None:
        self.parts = parts
        self.ports = ports
        """The open ports of the node by name."""

        self.edges: dict[str, edge.PipelinedFactory] = {}
        self.watch = _connection_watch.ConnectionWatch(self.edges)
        parts.metrics.export([self.watch.make_group()])

    def open(self, name: str, handler: edge.EdgeHandler) -> None:
        """Open the listener ``name``, whose address the settings have.

        Raises ``twisted.internet.error.CannotListenError`` when it is in use.
        """
        parts = self.parts
        limits = find_limits(name, parts.settings)
        factory = edge.PipelinedFactory(
            parts.reactor,
            parts.clock,
            handler,
            limits.max_body_bytes,
            limits.max_connections,
            PIPELINE_DEPTH,
            account=parts.account,
        )
        self.edges[name] = factory
        address = getattr(parts.settings.listen, name)
        self.ports[name] = parts.reactor.listenTCP(
            address.port, factory, interface=address.host
        )

    def apply_settings(self, node_settings: settings.MeshSettings) -> None:
        """Apply changed limits on connections; those that are open stay."""
        for name, factory in self.edges.items():
            limits = find_limits(name, node_settings)
            factory.max_connections = limits.max_connections
