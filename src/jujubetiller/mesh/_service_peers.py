"""The other nodes beside instances of the node's service."""

from jujubetiller import crashes, settings
from jujubetiller.mesh import _mesh_parts


class ServicePeers(crashes.CrashPeers):
    """The nodes of the published instances of the same service."""

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        super().__init__(parts)
        self.parts = parts

    def list_addresses(self) -> list[settings.Address]:
        """Return the addresses of the nodes that are known now."""
        return self.parts.directory.service_peers(self.parts.settings.service)
