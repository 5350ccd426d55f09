"""Random sequences of faults and calls must break no promise.

It guards against failures that only a combination of faults causes. The sequences
are the same in every run.
"""

import hypothesis
from hypothesis import strategies

from standins.fleet import local_fleet
from tests.faults import cells, fault_table, steps

EXAMPLES = 25
ENTRIES = (steps.ENTRY, "booth-1", cells.SECOND_ENTRY)

_SENDS = strategies.tuples(
    strategies.just("send"),
    strategies.sampled_from(sorted(local_fleet.KINDS)),
    strategies.sampled_from(ENTRIES),
    strategies.booleans(),
)
_FAULTS = strategies.tuples(
    strategies.just("fault"),
    strategies.sampled_from(fault_table.FAULTS),
    strategies.sampled_from(steps.OWNERS),
    strategies.sampled_from((300, 900, 2_000)),
)
_WAITS = strategies.tuples(
    strategies.just("wait"), strategies.sampled_from((10, 40, 200, 700))
)
_TICKETS = strategies.tuples(strategies.just("ticket"))


class Sequence:
    """Runs the actions of a sequence on a fleet."""

    def __init__(self, seed: int) -> None:
        self.fleet = local_fleet.Fleet(seed)
        self.fleet.wait_ready()
        self.keys = [self.fleet.mint_key() for _ in range(3)]
        self.active_faults: list[tuple[float, fault_table.Fault, str]] = []
        self.watch = cells.TicketWatch(self.fleet)
        self.used_keys = 0

    def run(self, action: tuple) -> None:  # type: ignore[type-arg]
        """Run one action."""
        getattr(self, action[0])(*action[1:])

    def send(self, kind: str, entry: str, is_keyed: bool) -> None:
        """Send a request; one with a caller's key may be retried at a second entry."""
        entries = (entry, cells.SECOND_ENTRY)
        if is_keyed and kind == "book" and self.used_keys < len(self.keys):
            key = self.keys[self.used_keys]
            self.used_keys += 1
            self.fleet.send(kind, entries, key)
        else:
            self.fleet.send(kind, entries)

    def fault(self, fault: fault_table.Fault, owner: str, lasts_ms: float) -> None:
        """Start a fault that ends after ``lasts_ms``."""
        fault.start(self.fleet, owner)
        self.active_faults.append((self.fleet.network.now_ms + lasts_ms, fault, owner))

    def wait(self, duration_ms: float) -> None:
        """Advance the time and end the faults that are due."""
        self.fleet.network.run_for(duration_ms)
        now_ms = self.fleet.network.now_ms
        for one in [one for one in self.active_faults if one[0] <= now_ms]:
            self.active_faults.remove(one)
            one[1].end(self.fleet, one[2])

    def ticket(self) -> None:
        """Publish the next ticket."""
        highest = self.fleet.store.newest("tickets/index")["highest"]
        self.fleet.store.publish_ticket(local_fleet.make_ticket(highest + 1))

    def finish(self) -> list[str]:
        """End all faults, wait for all calls and return each broken promise."""
        while self.active_faults:
            self.wait(100)
        for process in self.fleet.network.processes.values():
            self.fleet.network.thaw(process)
        self.fleet.network.cuts.clear()
        self.fleet.set_platform("none")
        self.fleet.run_to_end()
        self.wait(cells.TICKET_MS)
        broken = self.fleet.find_broken_promises() + self.watch.broken
        return broken + cells.check_tickets(self.fleet)


@hypothesis.settings(
    derandomize=True,
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    seed=strategies.integers(1, 1_000),
    actions=strategies.lists(
        strategies.one_of(_SENDS, _SENDS, _FAULTS, _WAITS, _TICKETS),
        min_size=10,
        max_size=30,
    ),
)
def test_sequence(seed: int, actions: list) -> None:  # type: ignore[type-arg]
    """Run a sequence and expect no broken promise."""
    sequence = Sequence(seed)
    for action in actions:
        sequence.run(action)
    assert sequence.finish() == []
