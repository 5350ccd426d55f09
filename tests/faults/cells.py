"""Runs one cell of the matrix: a fault at a step of a call, then all checks."""

from typing import Any

from standins.fleet import local_fleet
from tests.faults import fault_table, steps

FAULT_MS = 1_800.0
"""Duration of a fault; above the 1.5 s after which a silent stream is closed."""

TICKET_MS = 4_000.0
"""Time after the end of a fault within which a ticket must be in force everywhere."""

SECOND_ENTRY = "ledger-2"
SUBJECTS = ("look", "book", "keyed")
"""Kinds of request: idempotent, with a key from the entry node, with a caller's key."""


def send(fleet: local_fleet.Fleet, subject: str, key: str = "") -> str:
    """Send a request of one of the three kinds."""
    if subject == "keyed":
        return fleet.send("book", (steps.ENTRY, SECOND_ENTRY), key)
    return fleet.send(subject)


def reach(fleet: local_fleet.Fleet, step: steps.Step, subject: str) -> tuple[str, str]:
    """Run a request up to ``step``; return its marker and its owner."""
    key = fleet.mint_key() if subject == "keyed" else ""
    step.prepare(fleet)
    marker = send(fleet, subject, key)
    owners: list[str] = []

    def is_reached() -> bool:
        owners[:] = [one for one in steps.OWNERS if step.is_reached(fleet, marker, one)]
        return bool(owners)

    reached = fleet.network.run_until(is_reached, local_fleet.DEADLINE_MS)
    assert reached, f"the call never reached the step: {step.name}"
    return marker, owners[0]


def run_cell(
    fault: fault_table.Fault,
    step: steps.Step,
    subject: str,
    **fleet_arguments: Any,
) -> list[str]:
    """Run a cell and return a sentence for each broken promise."""
    fleet = local_fleet.Fleet(slots=step.slots, **fleet_arguments)
    fleet.wait_ready()
    keys = {one: fleet.mint_key() for one in SUBJECTS}
    marker, owner = reach(fleet, step, subject)
    fault.start(fleet, owner)
    planned_marker = marker
    if not fault.is_planned:
        for other in SUBJECTS:
            send(fleet, other, keys[other] if other == "keyed" else "")
    publish_ticket(fleet)
    watch = TicketWatch(fleet)
    fleet.network.run_for(FAULT_MS)
    fault.end(fleet, owner)
    fleet.network.run_for(TICKET_MS)
    broken = check_tickets(fleet)
    fleet.run_to_end()
    broken += fleet.find_broken_promises() + watch.broken
    if fault.is_planned and fleet.ends[planned_marker]["end"] != "good":
        broken.append(f"the planned stop cut off {fleet.ends[planned_marker]}")
    return broken + check_recovery(fleet, owner if fault.stops_owner else "")


def publish_ticket(fleet: local_fleet.Fleet) -> None:
    """Publish ticket 2 unless a fault has published it already."""
    if fleet.store.newest("tickets/index")["highest"] < 2:
        fleet.store.publish_ticket(local_fleet.make_ticket(2, fleet.slots))


class TicketWatch:
    """Checks after every network step that no object reverts to an older ticket."""

    def __init__(self, fleet: local_fleet.Fleet) -> None:
        self.fleet = fleet
        self.digests: dict[str, bytes] = {}
        self.seen: dict[tuple[str, str, str], tuple[int, bytes]] = {}
        self.broken: list[str] = []
        fleet.network.observer = self.check

    def check(self) -> None:
        """Compare the ticket state of every node with the previous check."""
        for instance, one in self.fleet.nodes.items():
            digest = one.parts.tickets.digest()
            if self.digests.get(instance) == digest:
                continue
            self.digests[instance] = digest
            for name, entry in one.parts.tickets.entries.items():
                place = (instance, one.parts.state.boot_id, name)
                if entry.version < self.seen.get(place, entry.version):
                    self.broken.append(f"{name} went back at {instance}")
                self.seen[place] = entry.version


def check_tickets(fleet: local_fleet.Fleet) -> list[str]:
    """Return a sentence for each node without the newest ticket, or if nodes differ."""
    states = {
        instance: (one.parts.tickets.number, one.parts.tickets.digest())
        for instance, one in fleet.nodes.items()
        if not fleet.process(instance).is_dead and not one.parts.state.draining
    }
    highest = fleet.store.newest("tickets/index")["highest"]
    broken = [
        f"ticket {highest} is not in force at {instance}, which has {number}"
        for instance, (number, _) in states.items()
        if number < highest
    ]
    if len({digest for _, digest in states.values()}) > 1:
        broken.append("nodes hold different ticket states")
    return broken


def check_recovery(fleet: local_fleet.Fleet, leaving: str) -> list[str]:
    """Send requests after the fault; all must be answered, none by ``leaving``."""
    entry = SECOND_ENTRY if fleet.process(steps.ENTRY).is_dead else steps.ENTRY
    report = fleet.targets[leaving].counters if leaving else None
    runs_before = sum(report.by_path.values()) if report else 0
    markers = [fleet.send(kind, (entry,)) for kind in ("look", "book") * 3]
    fleet.run_to_end()
    broken = [
        f"after the fault, {fleet.ends[marker]}"
        for marker in markers
        if fleet.ends[marker]["end"] != "good"
    ]
    if report and sum(report.by_path.values()) > runs_before:
        broken.append(f"{leaving} is leaving and got new work")
    return broken + fleet.find_broken_promises()
