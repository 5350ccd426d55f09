"""Runs many control exchanges in one process, with simulated time and links."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from jujubetiller import clock, control, membership, settings, tickets

LATENCY_MS = 1.0

PLATFORM_LATENCY_MS = 4.0

WATCH_MS = 1_500.0


class SimulatedPlatform:
    """Holds the published tickets and lists; only the newest values are served."""

    def __init__(self) -> None:
        self.tickets: dict[int, tickets.Ticket] = {}
        self.lists: dict[str, list[membership.InstanceRecord]] = {}
        self.version = 1
        self.reads = 0


class SimulatedNode:
    """Runs the control exchange of one node in the simulated network."""

    def __init__(
        self,
        network: "SimulatedNetwork",
        record: membership.InstanceRecord,
        control_settings: settings.ControlSettings,
    ) -> None:
        self.record = record
        self.freshness = membership.PlatformFreshness(network.clock)
        self.state = network.state_type(control_settings)
        self.table = membership.MembershipTable(network.clock, control_settings)
        self.exchange = control.ControlExchange(
            network.clock,
            network.random,
            control_settings,
            self.state,
            self.table,
            record,
            self.freshness,
        )
        self.election = membership.ReaderElection(
            network.clock,
            network.random,
            control_settings,
            record.instance,
            record.zone,
            self.freshness,
        )

    @property
    def is_reader(self) -> bool:
        """Whether the node reads the platform at present."""
        zone_instances = self.table.instances_in(self.record.zone)
        return self.election.is_reader(zone_instances)


class SimulatedNetwork:
    """Delivers messages in batches, as one write to a stream does.

    A batch is lost as a whole, because a broken stream loses its last data and
    never a part in the middle. ``is_open(source, target)`` returns whether one
    node can reach another, and ``platform_open(name)`` whether it can reach the
    platform.
    """

    def __init__(
        self,
        seed: int = 1,
        loss: float = 0.0,
        duplication: float = 0.0,
        control_settings: settings.ControlSettings | None = None,
        state_type: type[tickets.TicketState] = tickets.TicketState,
    ) -> None:
        self.clock = clock.ManualClock()
        self.random = random.Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.settings = control_settings or settings.ControlSettings()
        self.state_type = state_type
        self.platform = SimulatedPlatform()
        self.nodes: dict[str, SimulatedNode] = {}
        self.by_port: dict[int, str] = {}
        self.is_open: Callable[[str, str], bool] = lambda source, target: True
        self.platform_open: Callable[[str], bool] = lambda name: True
        self.check_every_ms = 10.0
        self.sends_news = True
        """If False, updates spread only by the periodic digests."""
        self.delivered = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def make_record(
        self, name: str, service: str, zone: str
    ) -> membership.InstanceRecord:
        """Return the record of a new process with a new boot id."""
        port = next(
            (port for port, at in self.by_port.items() if at == name),
            1_024 + len(self.by_port),
        )
        self.by_port[port] = name
        boot_id = f"{self.random.getrandbits(64):016x}"
        return membership.InstanceRecord(
            name, service, zone, "127.0.0.1", port, boot_id=boot_id
        )

    def start(self, record: membership.InstanceRecord) -> SimulatedNode:
        """Start a process, in place of an earlier one of the same name."""
        node = SimulatedNode(self, record, self.settings)
        self.nodes[record.instance] = node
        self._later(self.random.random() * 50.0, lambda: self._tick(node))
        self._later(self.random.random() * 50.0, lambda: self._read(node))
        return node

    def fill(self, zones: dict[str, int], whole_view: bool = True) -> None:
        """Start ``zones[zone]`` nodes in each zone and publish their lists.

        With ``whole_view`` the nodes know each other from the start.
        """
        for zone, size in zones.items():
            self.platform.lists[zone] = []
            for at in range(size):
                record = self.make_record(f"{zone}-{at:04}", f"service-{at % 9}", zone)
                self.platform.lists[zone].append(record)
                self.start(record)
        if not whole_view:
            return
        view = membership.MembershipTable(self.clock, self.settings)
        for zone, records in self.platform.lists.items():
            view.merge_published_list(zone, records, 1)
        for node in self.nodes.values():
            view.merge(node.exchange.announcer.record)
        for node in self.nodes.values():
            for record in view.instances():
                node.table.merge(record)
            node.exchange.pending_updates.clear()

    def publish(self, ticket: tickets.Ticket) -> None:
        """Publish a ticket; readers fetch it after the platform's latency."""
        self.platform.tickets[ticket.number] = ticket
        for node in self.nodes.values():
            delay_ms = PLATFORM_LATENCY_MS * (1 + self.random.random())
            self._later(delay_ms, functools.partial(self._read_once, node))

    def run(self, duration_ms: float, until: Callable[[], bool] | None = None) -> float:
        """Run for ``duration_ms``, or until the condition holds.

        Returns the simulated milliseconds that passed. The condition is checked
        every ``check_every_ms``.
        """
        started_ms = self.clock.now_ms()
        end_ms = started_ms + duration_ms
        check_ms = started_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._events)
            if until is not None and at_ms >= check_ms:
                if until():
                    heapq.heappush(self._events, (at_ms, next(self._order), action))
                    return self.clock.now_ms() - started_ms
                check_ms = at_ms + self.check_every_ms
            self.clock.advance(max(0.0, at_ms - self.clock.now_ms()))
            action()
        self.clock.advance(max(0.0, end_ms - self.clock.now_ms()))
        return duration_ms

    def agree(self) -> bool:
        """Return whether all nodes hold the same tickets."""
        return len({node.state.digest() for node in self.nodes.values()}) == 1

    def agree_on_members(self) -> bool:
        """Return whether all nodes hold the same records of instances."""
        return len({node.table.digest() for node in self.nodes.values()}) == 1

    def send(self, node: SimulatedNode, addressed: list[Any]) -> None:
        """Send messages to their addresses, one batch for each receiver."""
        batches: dict[str, list[control.Message]] = {}
        for address, message in addressed:
            name = self.by_port.get(address.port)
            if name is not None:
                batches.setdefault(name, []).append(message)
        for name, batch in batches.items():
            self._transmit(node, name, batch)

    def send_news(self, node: SimulatedNode) -> None:
        """Send the pending updates of ``node`` to its neighbours."""
        addressed = node.exchange.flush_updates()
        if self.sends_news:
            self.send(node, addressed)

    def count_bytes(self) -> int:
        """Return the control bytes that all running nodes sent so far."""
        return sum(
            sum(node.exchange.sent_bytes.values()) for node in self.nodes.values()
        )

    def _later(self, delay_ms: float, action: Callable[[], None]) -> None:
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def _is_running(self, node: SimulatedNode) -> bool:
        return self.nodes.get(node.record.instance) is node

    def _tick(self, node: SimulatedNode) -> None:
        if not self._is_running(node):
            return
        self.send(node, node.exchange.tick())
        self.send_news(node)
        node.election.update_reachability(
            node.exchange.partition_size(),
            bool(node.exchange.failure_detector.recently_active_peers()),
            len(node.table.instances()),
        )
        interval_ms = self.settings.digest_ms * (0.95 + 0.1 * self.random.random())
        self._later(interval_ms, lambda: self._tick(node))

    def _read(self, node: SimulatedNode) -> None:
        if not self._is_running(node):
            return
        self._read_once(node)
        self._later(
            WATCH_MS * (0.8 + 0.2 * self.random.random()), lambda: self._read(node)
        )

    def _read_once(self, node: SimulatedNode) -> None:
        name = node.record.instance
        if not (self._is_running(node) and self.platform_open(name) and node.is_reader):
            return
        platform = self.platform
        platform.reads += 2
        node.freshness.record_read()
        index = {
            object_name: number
            for number in sorted(platform.tickets)
            for object_name in platform.tickets[number].objects
        }
        for number in node.state.missing_numbers(index):
            platform.reads += 1
            node.exchange.merge_ticket(platform.tickets[number])
        listed = platform.lists.get(node.record.zone)
        if listed is not None:
            node.exchange.merge_published_list(
                node.record.zone, listed, platform.version
            )
        self.send_news(node)

    def _transmit(
        self, node: SimulatedNode, name: str, batch: list[control.Message]
    ) -> None:
        if self.random.random() < self.loss:
            return
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            delay_ms = LATENCY_MS * (0.5 + self.random.random())
            self._later(delay_ms, lambda: self._deliver(node, name, batch))

    def _deliver(
        self, source: SimulatedNode, name: str, batch: list[control.Message]
    ) -> None:
        node = self.nodes.get(name)
        sender = source.record.instance
        if node is None or not self._is_running(source):
            return
        if not self.is_open(sender, name) or sender == name:
            return
        self.delivered += len(batch)
        replies = [
            reply
            for message in batch
            for reply in node.exchange.receive(sender, message)
        ]
        if replies:
            self._transmit(node, sender, replies)
        self.send_news(node)
