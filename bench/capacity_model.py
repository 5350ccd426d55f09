"""Computes what each role carries at the design scale from measured figures."""

from collections.abc import Mapping

from bench import design_scale


class CapacityModel:
    """Combines the design scale with the figures of ``capacity-slopes.json``."""

    def __init__(
        self, scale: design_scale.DesignScale, measured: Mapping[str, float]
    ) -> None:
        self.scale = scale
        self.measured = measured
        self.entry_us = measured["entry node: processor per call"]
        self.peer_us = measured["peer node: processor per call"]
        name = "call, two nodes, sequential: added"
        self.added_p50_ms = measured[f"{name} p50"]
        self.direct_p99_ms = measured[f"{name} p99 (baseline)"]
        self.added_p99_ms = measured["call, two nodes, sequential: added p99"]

    def call_percent(self, calls_per_s: float) -> float:
        """Return the share of a core for calls sent and as many received."""
        return calls_per_s * (self.entry_us + self.peer_us) / 1e4

    @property
    def highest_calls_per_s(self) -> float:
        """Return the calls a second that one core can send and also receive."""
        return 1e6 / (self.entry_us + self.peer_us)

    @property
    def exchange_bytes_per_s(self) -> float:
        """Return the bytes a second sent for digests, tickets and replacements."""
        name = "simulated 420 nodes in 21 zones:"
        return (
            self.measured[f"{name} messages of an idle node"]
            + self.scale.tickets_per_s
            * self.measured[f"{name} bytes a node for a ticket"]
            + self.scale.replacements_per_s
            * self.measured[f"{name} bytes a node for a restart"]
        )

    def heartbeat_bytes_per_s(self, streams: float) -> float:
        """Return the bytes a second of pings and pongs sent on idle streams."""
        heartbeat = self.measured["control bytes for a heartbeat"]
        return streams * 2 / self.scale.idle_ping_s * heartbeat

    @property
    def index_bytes(self) -> float:
        """Return the size of the platform's index of tickets."""
        return self.scale.objects * self.measured["platform index: bytes for an object"]

    @property
    def reader_bytes_per_s(self) -> float:
        """Return the bytes a second that a reader receives for tickets and lists."""
        list_bytes = (
            self.scale.nodes_per_zone
            * self.measured["platform list: bytes for an instance"]
        )
        # A replacement changes its zone's list when a VM leaves and when one joins.
        list_changes = 2 * self.scale.replacements_per_s / self.scale.zones
        return self.scale.tickets_per_s * self.index_bytes + list_changes * list_bytes

    @property
    def highest_objects(self) -> float:
        """Return the number of objects at which a reader reaches the byte limit."""
        remaining = self.scale.control_bytes_per_s - self.exchange_bytes_per_s
        per_object = self.measured["platform index: bytes for an object"]
        return remaining / self.scale.tickets_per_s / per_object

    @property
    def control_percent(self) -> float:
        """Return the share of a core for digests, tickets and replacements."""
        name = "control at 4000 instances:"
        tick = self.measured[f"{name} tick with 6 digests"]
        # Each neighbour may push the same update.
        copies = self.scale.neighbours
        ticket = copies * self.measured[f"{name} push of a ticket"]
        record = copies * self.measured[f"{name} push of a record"]
        return (
            tick
            + ticket * self.scale.tickets_per_s
            + record * self.scale.replacements_per_s * 2
        ) / 1e4

    @property
    def process_percent(self) -> float:
        """Return the share of a core of an idle process, from a fleet of 48."""
        return self.measured["fleet of 48 in 3 zones: processor of an idle node"]

    def streams_percent(self, each_way: float) -> float:
        """Return the share of a core for ``each_way`` idle streams each way."""
        opened = self.measured["idle stream opened: processor"]
        return each_way * (opened + self.measured["idle stream taken: processor"])

    def streams_mb(self, each_way: float) -> float:
        """Return the megabytes for ``each_way`` idle streams each way."""
        opened = self.measured["idle stream opened: memory"]
        return each_way * (opened + self.measured["idle stream taken: memory"]) / 1000

    @property
    def imports_mb(self) -> float:
        """Return the resident memory after the imports."""
        return self.measured["resident memory: all modules of a node"]

    @property
    def state_mb(self) -> float:
        """Return the memory of tickets and membership."""
        return (
            self.scale.nodes * self.measured["control memory for an instance"]
            + self.scale.objects * self.measured["control memory for an object"]
        ) / 1e6

    @property
    def added_mb(self) -> float:
        """Return the resident memory of a node beyond the imports."""
        name = "fleet of 48 in 3 zones: resident memory beyond imports"
        streams_mb = self.streams_mb(self.scale.own_zone_streams)
        return self.measured[name] + self.state_mb + streams_mb

    def news_bytes(self, records: float) -> float:
        """Return the bytes that a node sends when ``records`` change together."""
        name = "simulated 420 nodes in 21 zones: bytes a node for a restart"
        return records * self.measured[name]
