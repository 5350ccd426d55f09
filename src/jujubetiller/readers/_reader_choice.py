"""Which nodes of a zone read the store."""

import random
from collections.abc import Iterable

from jujubetiller import clock
from jujubetiller.readers import _rendezvous

READERS_PER_ZONE = 2

MAX_ASKED = 4
"""Nodes that are asked for changes in one round, until one is found that reads; and
nodes that are asked to read although others have answered that they cannot."""

ASKED_MS = 4_000.0
"""Time for which a node reads after it was last asked as a reader."""

PROBE_INTERVAL_MS = 2_000.0
"""Time between two requests to a node that could not be used as a reader."""

UNABLE_PROBE_INTERVAL_MS = 200.0
"""The same for the first reader if it answers and only that one is to be asked: it goes
on trying, and the nodes are to know as soon as it reads the store again."""

CUT_OFF_SPREAD_MS = 300.0
"""Width of the random delay after which a node that reaches no other one reads."""

STORE_DOWN_SPREAD_MS = 1_000.0
"""The same for each node of the zone if others answer, but none can read. With it, one
node of a zone tries a second, in addition to those that are asked."""


class ReaderChoice:
    """Decides whether this node reads the store, and which node it asks for changes.

    The first two nodes of the zone in the order of their rendezvous hashes read. A node
    that does not answer, or that answers that it cannot read, is passed over, and the
    next one in the order is asked in its place. Being asked makes a node read, so that
    nodes which disagree on who is up still find a reader. A node that finds none reads
    itself, after a random delay.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        random_source: random.Random,
        zone: str,
        own: str,
        prefers_first_reader: bool = False,
    ) -> None:
        self.clock = time_source
        self.random = random_source
        self.zone = zone
        self.own = own
        self.prefers_first_reader = prefers_first_reader
        """Whether to ask the first reader in each round, as only that one has a recent
        proof of what it knows."""

        self.nodes: list[str] = []
        """The nodes of the zone that may read, by rendezvous."""

        self.probed_at_ms: dict[str, float] = {}
        """When each node that is passed over was last asked."""

        self.unable: set[str] = set()
        """The nodes among them that answer."""

        self.asked_until_ms = time_source.now_ms()
        self.refuses_until_ms = time_source.now_ms()
        """Time before which a request to read is not followed, as reads have failed."""

        self.reads_alone_from_ms: float | None = None
        self.round = 0
        self.asked: set[str] = set()
        """The nodes that were asked in this round."""

    def set_nodes(self, names: Iterable[str]) -> None:
        """Set the nodes of the zone that may read, which may include this one."""
        self.nodes = _rendezvous.order_by_rendezvous(self.zone, set(names))
        known = set(self.nodes)
        self.probed_at_ms = {
            name: at_ms for name, at_ms in self.probed_at_ms.items() if name in known
        }
        self.unable &= known

    def readers(self) -> list[str]:
        """Return the nodes that should read, in their order."""
        usable = [name for name in self.nodes if name not in self.probed_at_ms]
        return usable[:READERS_PER_ZONE]

    def is_reader(self) -> bool:
        """Return whether this node should read the store now.

        Nodes that answer that they cannot read keep their places, as the store may be
        down for all; others read in addition to them when they are asked.
        """
        now_ms = self.clock.now_ms()
        up = [
            name
            for name in self.nodes
            if name not in self.probed_at_ms or name in self.unable
        ]
        reads_alone = (
            self.reads_alone_from_ms is not None and now_ms >= self.reads_alone_from_ms
        )
        is_first = self.own in up[:READERS_PER_ZONE]
        return is_first or reads_alone or now_ms < self.asked_until_ms

    def is_primary(self) -> bool:
        """Return whether this node is the first reader of its zone, or the only one.

        It is the one that has to notice soon that the store's connections are silent.
        """
        ranks = self.readers()
        return not ranks or ranks[0] == self.own

    def record_asked(self) -> None:
        """Record that a node of the zone asks this one as a reader."""
        now_ms = self.clock.now_ms()
        if now_ms >= self.refuses_until_ms:
            self.asked_until_ms = now_ms + ASKED_MS

    def hand_back(self) -> None:
        """Record that this node cannot read: it tries again later.

        One of the first nodes of the zone goes on trying.
        """
        now_ms = self.clock.now_ms()
        self.asked_until_ms = now_ms
        self.reads_alone_from_ms = None
        self.refuses_until_ms = now_ms + PROBE_INTERVAL_MS

    def start_round(self) -> list[str]:
        """Start a round and return the nodes to ask first.

        These are one of the readers, in turn, and a node that was passed over if it is
        time to see whether it is back.
        """
        self.round += 1
        self.asked = set()
        first = self.next_to_ask()
        probed = self._find_probe()
        self.asked.update(probed)
        return [*([] if first is None else [first]), *probed]

    def next_to_ask(self) -> str | None:
        """Return the next node to ask in this round, or None if there is none."""
        if max(len(self.asked), len(self.unable)) >= MAX_ASKED:
            return None
        left = [
            name
            for name in self.readers()
            if name != self.own and name not in self.asked
        ]
        if not left:
            return None
        name = left[0 if self.prefers_first_reader else self.round % len(left)]
        self.asked.add(name)
        return name

    def record_reader(self, name: str) -> None:
        """Record that ``name`` reads the store."""
        self.probed_at_ms.pop(name, None)
        self.unable.discard(name)
        self.reads_alone_from_ms = None

    def record_failure(self, name: str, has_answered: bool) -> None:
        """Record that ``name`` gave no answer, or answered that it cannot read."""
        if name not in self.nodes:
            return
        self.probed_at_ms[name] = self.clock.now_ms()
        self.unable.discard(name)
        if has_answered:
            self.unable.add(name)

    def plan_reading_alone(self) -> float | None:
        """Return in how many milliseconds this node reads, as it has found no reader.

        The result is None if that is planned already.
        """
        if self.reads_alone_from_ms is not None or self.is_reader():
            return None
        spread_ms = CUT_OFF_SPREAD_MS
        if self.unable:
            spread_ms = STORE_DOWN_SPREAD_MS * len(self.nodes)
        delay_ms = spread_ms * self.random.random()
        self.reads_alone_from_ms = self.clock.now_ms() + delay_ms
        return delay_ms

    def _find_probe(self) -> list[str]:
        """Return the passed over node that comes first, if it is due to be asked."""
        now_ms = self.clock.now_ms()
        for name in self.nodes:
            at_ms = self.probed_at_ms.get(name)
            if name == self.own or at_ms is None:
                continue
            is_first = name == self.nodes[0] and name in self.unable
            interval_ms = PROBE_INTERVAL_MS
            if self.prefers_first_reader and is_first:
                interval_ms = UNABLE_PROBE_INTERVAL_MS
            if now_ms - at_ms >= interval_ms:
                return [name]
        return []
