"""The other nodes beside instances of the node's service."""

from jujubetiller import crashes, membership, settings
from jujubetiller.node import _node_parts


class ServicePeers(crashes.CrashPeers):
    """The nodes of the same service in the membership table."""

    def __init__(
        self, parts: _node_parts.NodeParts, table: membership.MembershipTable
    ) -> None:
        super().__init__(parts)
        self.own = parts.settings
        self.table = table

    def list_addresses(self) -> list[settings.Address]:
        """Return the addresses of the nodes that are known now."""
        return [
            settings.Address(record.host, record.peer_port)
            for record in self.table.instances_of(self.own.service)
            if record.instance != self.own.instance
        ]
