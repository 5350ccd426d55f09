"""The other nodes beside instances of the node's service."""

from collections.abc import Callable

from jujubetiller import calls, crashes, membership, settings
from jujubetiller.node import _node_parts


class ServicePeers(crashes.CrashPeers):
    """The nodes of the same service in the membership table."""

    def __init__(
        self, parts: _node_parts.NodeParts, table: membership.MembershipTable
    ) -> None:
        self.parts = parts
        self.table = table

    def list_addresses(self) -> list[settings.Address]:
        """Return the addresses of the nodes that are known now."""
        own = self.parts.settings
        return [
            settings.Address(record.host, record.peer_port)
            for record in self.table.instances_of(own.service)
            if record.instance != own.instance
        ]

    def send_call(
        self,
        address: settings.Address,
        request: calls.CallRequest,
        deadline: calls.Deadline,
        on_answer: Callable[[calls.CallAnswer], None],
    ) -> None:
        """Send a call to one of them over its stream."""
        self.parts.pool.send_call(address, request, deadline, on_answer)
