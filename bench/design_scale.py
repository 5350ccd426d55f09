"""The design scale of ``docs/design.md`` and the values derived from it."""

import attrs

DAY_S = 86_400.0


@attrs.frozen
class DesignScale:
    """Describes the fleet for which the capacity page is computed."""

    nodes: int = 4_000
    services: int = 190
    zones: int = 21
    regions: int = 7
    calls_per_s: float = 910_000.0
    depth: int = 17
    tickets_per_day: int = 3_600
    replacements_per_day: int = 1_208
    """1,200 planned ones and 8 failures."""

    reads_per_s: float = 2_000.0
    objects: int = 1_000
    """Services and request kinds; not given by the design, about five a service."""

    readers_per_zone: int = 2
    watches_per_reader: int = 2
    watch_s: float = 1.5
    neighbours: int = 6
    max_streams: int = 768
    other_zone_instances: int = 3
    idle_ping_s: float = 4.0

    added_ms: float = 0.55
    ticket_s: float = 4.0
    control_percent: float = 3.1
    control_bytes_per_s: float = 8_000.0
    control_mb: float = 32.0

    @property
    def calls_per_node(self) -> float:
        """Return the calls a second that each node sends, and also receives."""
        return self.calls_per_s / self.nodes

    @property
    def client_calls_per_node(self) -> float:
        """Return the calls a second from clients if all trees have full depth."""
        return self.calls_per_node / self.depth

    @property
    def nodes_per_zone(self) -> float:
        """Return the nodes of a zone."""
        return self.nodes / self.zones

    @property
    def nodes_per_region(self) -> float:
        """Return the nodes of a region."""
        return self.nodes / self.regions

    @property
    def instances_per_service(self) -> float:
        """Return the instances of a service."""
        return self.nodes / self.services

    @property
    def readers(self) -> int:
        """Return the readers of the fleet when no node or link has failed."""
        return self.zones * self.readers_per_zone

    @property
    def watch_reads_per_s(self) -> float:
        """Return the reads a second for watches that end without a change."""
        return self.readers * self.watches_per_reader / self.watch_s

    @property
    def tickets_per_s(self) -> float:
        """Return the tickets a second."""
        return self.tickets_per_day / DAY_S

    @property
    def replacements_per_s(self) -> float:
        """Return the replaced nodes a second."""
        return self.replacements_per_day / DAY_S

    @property
    def spill_streams(self) -> float:
        """Return the streams to an instance if all nodes spill for its service."""
        others = self.instances_per_service * (self.zones - 1) / self.zones
        return self.nodes * self.other_zone_instances / others

    @property
    def own_zone_streams(self) -> float:
        """Return the streams of a node each way while calls stay in the zone."""
        return self.nodes_per_zone + self.neighbours
