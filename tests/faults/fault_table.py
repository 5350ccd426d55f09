"""The table of faults: the action that starts each fault and the one that ends it."""

from collections.abc import Callable

import attrs

from jujubetiller import tickets
from standins.fleet import local_fleet
from standins.target import TargetState
from tests.faults import steps

Action = Callable[[local_fleet.Fleet, str], None]
"""Applied to the fleet and to the instance that owns the call."""


def _nothing(fleet: local_fleet.Fleet, owner: str) -> None:
    """Do nothing: the fault is permanent or ends by itself."""


def _zone(instance: str) -> str:
    return local_fleet.INSTANCES[instance][1]


def _kill(name: str) -> Action:
    return lambda fleet, owner: fleet.kill(name.format(owner=owner))


def _freeze(name: str) -> Action:
    def freeze(fleet: local_fleet.Fleet, owner: str) -> None:
        fleet.process(name.format(owner=owner)).is_frozen = True

    return freeze


def _thaw(name: str) -> Action:
    def thaw(fleet: local_fleet.Fleet, owner: str) -> None:
        fleet.network.thaw(fleet.process(name.format(owner=owner)))

    return thaw


def _cut(*, there: bool, back: bool) -> Action:
    def cut(fleet: local_fleet.Fleet, owner: str) -> None:
        entry = _zone(steps.ENTRY)
        if there:
            fleet.network.cut(entry, _zone(owner))
        if back:
            fleet.network.cut(_zone(owner), entry)

    return cut


def _cut_platform(*, there: bool, back: bool) -> Action:
    def cut(fleet: local_fleet.Fleet, owner: str) -> None:
        for zone in "abc":
            if there:
                fleet.network.cut(zone, "platform")
            if back:
                fleet.network.cut("platform", zone)

    return cut


def _heal_cuts(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.network.cuts.clear()


def _silence_peer(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.network.silence(steps.ENTRY, owner)
    fleet.network.silence(owner, steps.ENTRY)


def _silence_target(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.network.silence(owner, f"{owner}.target")


def _platform(mode: str) -> Action:
    return lambda fleet, owner: fleet.set_platform(mode)


def _restart_target(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.kill(f"{owner}.target")
    fleet.start_target(owner)


def _restart_owner(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.kill(owner)
    fleet.start_node(owner)


def _publish_instances(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.publish_instances()


def _list_leaving(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.states[owner] = "leaving"
    fleet.publish_instances()


def _list_without_owner(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.states.pop(owner, None)
    fleet.publish_instances()


def _relist(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.states[owner] = "live"
    fleet.publish_instances()


def _health(state: str) -> Action:
    def set_health(fleet: local_fleet.Fleet, owner: str) -> None:
        for target_site in fleet.targets.values():
            target_site.state = TargetState(health=state)

    return set_health


def _receive_ticket(
    fleet: local_fleet.Fleet, instance: str, ticket: tickets.Ticket
) -> None:
    reading = fleet.nodes[instance].platform_reading
    assert reading is not None
    fleet.process(instance).callLater(0, reading.receive_ticket, ticket)


def _race_tickets(fleet: local_fleet.Fleet, owner: str) -> None:
    """Publish two different tickets with number 2, each read by other nodes."""
    other = local_fleet.make_ticket(2, **{"service/gate": {"slots": 9}})
    fleet.store.publish_ticket(other)
    for name in ("booth-1", "ledger-1"):
        parsed = tickets.parse_ticket(
            local_fleet.dump(local_fleet.make_ticket(2))
        ).unwrap()
        _receive_ticket(fleet, name, parsed)


def _late_ticket(fleet: local_fleet.Fleet, owner: str) -> None:
    """Deliver the first ticket to the entry node again."""
    parsed = tickets.parse_ticket(local_fleet.dump(local_fleet.make_ticket())).unwrap()
    _receive_ticket(fleet, steps.ENTRY, parsed)


def _nested_paths(fault: str) -> Action:
    def set_paths(fleet: local_fleet.Fleet, owner: str) -> None:
        for name in ("ledger-1", "ledger-2"):
            target_site = fleet.targets[name]
            target_site.paths = {
                path: attrs.evolve(plan, fault=fault)
                for path, plan in target_site.paths.items()
            }

    return set_paths


def _vanish(fleet: local_fleet.Fleet, owner: str) -> None:
    for name in (owner, f"{owner}.target"):
        fleet.network.vanish(fleet.process(name))


def _replace_vm(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.start_target(owner)
    fleet.start_node(owner)
    fleet.publish_instances()


def _slow_down(delay_ms: float) -> Action:
    def slow_down(fleet: local_fleet.Fleet, owner: str) -> None:
        entry = _zone(steps.ENTRY)
        for zones in ((entry, _zone(owner)), (_zone(owner), entry)):
            fleet.network.delays_ms[zones] = delay_ms

    return slow_down


def _both(*actions: Action) -> Action:
    def act(fleet: local_fleet.Fleet, owner: str) -> None:
        for action in actions:
            action(fleet, owner)

    return act


def _drain(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.drain(owner)


def _drain_entry(fleet: local_fleet.Fleet, owner: str) -> None:
    fleet.drain(steps.ENTRY)


@attrs.frozen
class Fault:
    """A fault that starts at a step of a call and ends 1.8 s later unless permanent."""

    name: str
    start: Action
    end: Action = _nothing

    stops_owner: bool = False
    """Whether the owner must receive no new calls after the fault."""

    is_planned: bool = False
    """Whether the stop is planned, so that every request must end with its answer."""


_KILL_ENTRY = _kill(steps.ENTRY)
_FREEZE_OWNER, _THAW_OWNER = _freeze("{owner}"), _thaw("{owner}")

FAULTS = (
    Fault("entry node killed", _KILL_ENTRY),
    Fault("peer node killed", _kill("{owner}"), stops_owner=True),
    Fault("target killed", _kill("{owner}.target"), _restart_target),
    Fault("zones cut both ways", _cut(there=True, back=True), _heal_cuts),
    Fault("zones cut towards the peer", _cut(there=True, back=False), _heal_cuts),
    Fault("zones cut towards the entry", _cut(there=False, back=True), _heal_cuts),
    Fault("platform cut both ways", _cut_platform(there=True, back=True), _heal_cuts),
    Fault("platform cut one way", _cut_platform(there=False, back=True), _heal_cuts),
    Fault("entry node frozen", _freeze(steps.ENTRY), _thaw(steps.ENTRY)),
    Fault("peer node frozen", _FREEZE_OWNER, _THAW_OWNER),
    Fault("target frozen", _freeze("{owner}.target"), _thaw("{owner}.target")),
    Fault("peer connection silent", _silence_peer),
    Fault("target connection silent", _silence_target),
    Fault("platform down", _platform("down"), _platform("none")),
    Fault("platform stale", _platform("stale"), _platform("none")),
    Fault("platform slow", _platform("slow"), _platform("none")),
    Fault("platform older", _platform("older"), _platform("none")),
    Fault("VM list late", _kill("{owner}"), _publish_instances, stops_owner=True),
    Fault("VM list names a leaving peer", _list_leaving, stops_owner=True),
    Fault("VM list lacks the peer", _list_without_owner, _relist),
    Fault("health endpoint says good", _health("good"), _health("truth")),
    Fault("health endpoint says bad", _health("bad"), _health("truth")),
    Fault("ticket race", _race_tickets, _late_ticket),
    Fault("nested targets cut answers", _nested_paths("close"), _nested_paths("none")),
    Fault("peer node restarted", _restart_owner, _publish_instances),
    Fault("peer VM lost without a reset", _vanish, stops_owner=True),
    Fault("peer VM replaced", _vanish, _replace_vm),
    Fault("slow network between zones", _slow_down(200), _slow_down(0)),
    Fault("nested peer killed", _kill("ledger-1")),
    Fault("nested peer frozen", _freeze("ledger-1"), _thaw("ledger-1")),
    Fault("planned stop, then a kill", _drain, _kill("{owner}"), stops_owner=True),
    Fault("planned stop of the peer", _drain, stops_owner=True, is_planned=True),
    Fault("planned stop of the entry", _drain_entry, is_planned=True),
    Fault(
        "peer killed, platform down",
        _both(_kill("{owner}"), _platform("down")),
        _platform("none"),
        stops_owner=True,
    ),
    Fault(
        "peer frozen, zones cut",
        _both(_FREEZE_OWNER, _cut(there=True, back=True)),
        _both(_heal_cuts, _THAW_OWNER),
    ),
    Fault(
        "target killed, peer stopped",
        _both(_kill("{owner}.target"), _drain),
        stops_owner=True,
    ),
    Fault(
        "entry killed, peer connection silent",
        _both(_silence_peer, _KILL_ENTRY),
    ),
)
