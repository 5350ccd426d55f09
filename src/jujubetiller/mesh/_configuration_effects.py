"""What a new version of the configuration changes in a node."""

from jujubetiller import edge, routes, settings
from jujubetiller.mesh import (
    _class_order,
    _mesh_parts,
    _proof_interval,
    _store_reading,
    _team_admission,
)

MIN_HEAD_BYTES = 65_536
"""Lowest bound on the size of a request head: the bytes of pipelined requests that
arrive behind the head count towards it."""


class ConfigurationEffects:
    """Applies each version of the configuration once to the parts that depend on it."""

    def __init__(
        self, parts: _mesh_parts.MeshParts, reading: _store_reading.StoreReading
    ) -> None:
        self.parts = parts
        self.team_admission = _team_admission.TeamAdmission(parts)
        self.class_order = _class_order.ClassOrder(parts)
        self.proof_interval = _proof_interval.ProofInterval(parts, reading)
        self.applied_version = 0
        """Version of the configuration that the directory and the edge apply."""

    def apply(self, client_edge: edge.PipelinedFactory | None) -> None:
        """Apply the configuration in force, if it is a new one.

        ``client_edge`` accepts the connections of clients.
        """
        configuration = self.parts.configuration
        if self.applied_version == configuration.version:
            return
        self.applied_version = configuration.version
        self.parts.directory.refresh()
        if configuration.current is not None and client_edge is not None:
            bounds = configuration.current.bounds
            apply_bounds(client_edge, bounds, self.parts.settings.streams)
        self.team_admission.apply()
        self.class_order.apply()
        self.proof_interval.apply()


def apply_bounds(
    factory: edge.PipelinedFactory,
    bounds: routes.RequestBounds,
    stream_settings: settings.StreamSettings,
) -> None:
    """Apply the configuration's bounds on clients' requests."""
    factory.idle_ms = bounds.idle_timeout_ms
    factory.head_timeout_ms = bounds.header_timeout_ms
    factory.max_head_bytes = max(bounds.max_header_bytes, MIN_HEAD_BYTES)
    factory.max_header_bytes = bounds.max_header_bytes
    factory.max_body_bytes = min(bounds.max_body_bytes, stream_settings.max_body_bytes)
