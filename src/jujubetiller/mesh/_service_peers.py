"""The other nodes beside instances of the node's service."""

from collections.abc import Callable

from jujubetiller import calls, crashes, settings
from jujubetiller.mesh import _mesh_parts


class ServicePeers(crashes.CrashPeers):
    """The nodes of the published instances of the same service."""

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        self.parts = parts

    def list_addresses(self) -> list[settings.Address]:
        """Return the addresses of the nodes that are known now."""
        return self.parts.directory.service_peers(self.parts.settings.service)

    def send_call(
        self,
        address: settings.Address,
        request: calls.CallRequest,
        deadline: calls.Deadline,
        on_answer: Callable[[calls.CallAnswer], None],
    ) -> None:
        """Send a call to one of them over its stream."""
        self.parts.pool.send_call(address, request, deadline, on_answer)
