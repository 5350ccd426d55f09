"""The steps of a call, as conditions on the fleet that tests can wait for."""

from collections.abc import Callable
from typing import Any

import attrs

from jujubetiller import calls, limits
from standins.fleet import local_fleet

ENTRY = "gate-1"
OWNERS = ("booth-1", "booth-2")
BLOCKED_MS = 400.0


def find_outboxes(fleet: local_fleet.Fleet, marker: str) -> list[tuple[str, str]]:
    """Return the sender and receiver of each connection with ``marker`` in transit."""
    sought = marker.encode()
    return [
        (end.process.name, end.peer.process.name)
        for end in fleet.network.ends
        if sought in end.outbox
    ]


def is_connecting(fleet: local_fleet.Fleet, sender: str, receiver: str) -> bool:
    """Return whether a process is connecting to another one."""
    ports = fleet.network.ports
    return any(
        not one.is_over
        and one.process.name == sender
        and one.port in ports
        and ports[one.port].process.name == receiver
        for one in fleet.network.connecting
    )


def is_accepted(fleet: local_fleet.Fleet, marker: str, owner: str) -> bool:
    """The entry node has the request and waits for a stream to the owner."""
    entered = fleet.nodes[ENTRY].parts.state.calls_under_way > 0
    return entered and is_connecting(fleet, ENTRY, owner)


def is_sent(fleet: local_fleet.Fleet, marker: str, owner: str) -> bool:
    """The call is in transit to the owner."""
    return (ENTRY, owner) in find_outboxes(fleet, marker)


def is_queued(fleet: local_fleet.Fleet, marker: str, owner: str) -> bool:
    """The call waits for a slot at the owner."""
    return fleet.nodes[owner].parts.guard.queue_length > 0


def is_received(fleet: local_fleet.Fleet, marker: str, owner: str) -> bool:
    """The owner has the call and connects to its target."""
    return is_connecting(fleet, owner, f"{owner}.target")


def is_handed(fleet: local_fleet.Fleet, marker: str, owner: str) -> bool:
    """The call is in transit to the target."""
    return (owner, f"{owner}.target") in find_outboxes(fleet, marker)


def is_running(fleet: local_fleet.Fleet, marker: str, owner: str) -> bool:
    """The target is running the call."""
    return any(run.marker == marker for run in fleet.targets[owner].running)


def is_nested(fleet: local_fleet.Fleet, marker: str, owner: str) -> bool:
    """The target waits for its nested call, which runs at a ledger."""
    nested = f"{marker}/0-ledger"
    return is_running(fleet, marker, owner) and any(
        run.marker == nested
        for name in ("ledger-1", "ledger-2")
        for run in fleet.targets[name].running
    )


def is_returning(fleet: local_fleet.Fleet, marker: str, owner: str) -> bool:
    """The answer is in transit to the entry node."""
    return (owner, ENTRY) in find_outboxes(fleet, marker)


def is_answered(fleet: local_fleet.Fleet, marker: str, owner: str) -> bool:
    """The answer is in transit to the caller."""
    return (ENTRY, "client") in find_outboxes(fleet, marker)


def reset_streams(fleet: local_fleet.Fleet) -> None:
    """Close the streams of the entry node, so that a call must wait for one."""
    for end in fleet.network.ends:
        if end.process.name == ENTRY and end.peer.process.name in OWNERS:
            end.abortConnection()
    fleet.network.settle(lambda: False)


def fill_slots(fleet: local_fleet.Fleet) -> None:
    """Occupy all slots of the owners for ``BLOCKED_MS``."""
    for owner in OWNERS:
        guard, process = fleet.nodes[owner].parts.guard, fleet.process(owner)
        clock = fleet.nodes[owner].parts.clock
        for _ in range(fleet.slots):
            entry = limits.GuardEntry(
                rank=0,
                depth=0,
                deadline=calls.Deadline.after(clock, 10_000),
                start=_do_nothing,
                refuse=_do_nothing,
                kind="filler",
            )
            guard.submit(entry)
            process.callLater(BLOCKED_MS / 1000, guard.finished, entry, True)


def prepare_nothing(fleet: local_fleet.Fleet) -> None:
    """Prepare nothing."""


def _do_nothing(*arguments: Any) -> None:
    """Serve as the callbacks of a guard entry that only occupies a slot."""


@attrs.frozen
class Step:
    """A step of a call, with the condition that the call has reached it at an owner."""

    name: str
    is_reached: Callable[[local_fleet.Fleet, str, str], bool]
    prepare: Callable[[local_fleet.Fleet], None] = prepare_nothing
    slots: int = 20


STEPS = (
    Step("accepted at the entry", is_accepted, reset_streams),
    Step("sent to the peer", is_sent),
    Step("received by the peer", is_received),
    Step("queued", is_queued, fill_slots, slots=2),
    Step("handed to the target", is_handed),
    Step("target running", is_running),
    Step("nested call running", is_nested),
    Step("answer on its way back", is_returning),
    Step("answer to the caller", is_answered),
)
