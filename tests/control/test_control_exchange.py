"""Guards against tickets that do not reach every node or are reverted.

That would break promise P8 of docs/design.md.
"""

import functools
from typing import Any

import pytest
import result

from bench import control_network
from jujubetiller import control, membership, settings, tickets

ZONES = {f"zone-{at:02}": 20 - at % 4 for at in range(21)}
TARGET_MS = 4_000


def make_ticket(number: int, slots: int = 1, name: str = "ledger") -> tickets.Ticket:
    objects = {f"service/{name}": {"slots": slots}}
    parsed = tickets.parse_ticket(
        {"number": number, "author": "op", "objects": objects}
    )
    assert isinstance(parsed, result.Ok)
    return parsed.ok_value


def make_network(
    zones: dict[str, int], **options: Any
) -> control_network.SimulatedNetwork:
    network = control_network.SimulatedNetwork(**options)
    network.fill(zones)
    network.run(4_000)
    return network


def in_force(network: control_network.SimulatedNetwork, number: int) -> bool:
    return all(node.state.number == number for node in network.nodes.values())


@pytest.mark.parametrize(("loss", "duplication"), [(0.0, 0.0), (0.2, 0.2)])
def test_a_ticket_reaches_21_zones_within_the_target(
    loss: float, duplication: float
) -> None:
    network = make_network(ZONES, loss=loss, duplication=duplication)
    readers = sum(node.is_reader for node in network.nodes.values())
    assert readers <= len(ZONES) * (2 if not loss else 5)
    for number in (1, 2):
        network.publish(make_ticket(number))
        reached = functools.partial(in_force, network, number)
        assert network.run(TARGET_MS, reached) < TARGET_MS
    assert network.agree()


def test_without_the_exchange_only_readers_get_the_ticket() -> None:
    network = make_network({"zone-a": 20})
    network.is_open = lambda source, target: False
    network.publish(make_ticket(1))
    network.run(1_000)
    holders = [n for n in network.nodes.values() if n.state.number == 1]
    assert 0 < len(holders) < 20


def test_partition_and_heal() -> None:
    network = make_network({"zone-a": 12, "zone-b": 12, "zone-c": 6}, loss=0.1)
    network.is_open = lambda source, target: source[:6] == target[:6]
    network.platform_open = lambda name: not name.startswith("zone-b")
    network.run(20_000)
    network.publish(make_ticket(5, 2))
    network.run(TARGET_MS)
    numbers = {name[:6]: node.state.number for name, node in network.nodes.items()}
    assert numbers == {"zone-a": 5, "zone-b": 0, "zone-c": 5}
    network.is_open = lambda source, target: True
    assert network.run(TARGET_MS, lambda: in_force(network, 5)) < TARGET_MS
    network.run(TARGET_MS)
    ages = [node.freshness.age_ms() for node in network.nodes.values()]
    assert max(ages) < 2 * TARGET_MS


def test_a_stale_platform_never_reverts_a_ticket() -> None:
    network = make_network({"zone-a": 10, "zone-b": 10})
    network.publish(make_ticket(3, 3))
    network.run(TARGET_MS)
    network.platform.tickets = {1: make_ticket(1, 1)}
    network.publish(make_ticket(2, 2))
    network.run(20_000)
    for node in network.nodes.values():
        assert (node.state.number, node.state.services["ledger"].slots) == (3, 3)


def test_an_isolated_node_reads_for_itself_and_returns() -> None:
    network = make_network({"zone-a": 12, "zone-b": 12})
    by_rank = sorted(
        (n.election.rank(n.table.instances_in("zone-a"))[0], name)
        for name, n in network.nodes.items()
        if n.record.zone == "zone-a"
    )
    name = by_rank[-1][1]
    node = network.nodes[name]
    network.is_open = lambda source, target: name not in (source, target)
    network.run(10_000)
    assert (node.is_reader, node.exchange.partition_size()) == (True, 1)
    network.publish(make_ticket(1))
    assert network.run(TARGET_MS, lambda: in_force(network, 1)) < TARGET_MS
    network.is_open = lambda source, target: True
    network.run(40_000)
    assert node.exchange.partition_size() == 12
    assert node.exchange.failure_detector.suspect_since_ms == {}


def test_unlisted_instances_stay_only_while_they_run() -> None:
    network = make_network({"zone-a": 6})
    listed = network.platform.lists["zone-a"]
    network.platform.lists["zone-a"] = [listed[at] for at in (0, 1, 2, 5)]
    network.platform.version = 2
    del network.nodes[listed[4].instance]
    network.run(membership.ABSENT_EXPIRY_MS * 2)
    for node in network.nodes.values():
        assert node.table.get(listed[3].instance) is not None
        assert node.table.get(listed[4].instance) is None
    assert network.agree_on_members()


def test_two_nodes_do_not_answer_each_other_without_end() -> None:
    network = make_network({"zone-a": 3})
    exchange = network.nodes["zone-a-0000"].exchange
    digest = next(m for _, m in exchange.tick() if isinstance(m, control.Digest))
    answers = [exchange.receive("stranger", digest) for _ in range(50)]
    assert sum(map(len, answers)) <= 1


class LastArrivalState(tickets.TicketState):
    """Applies every entry that arrives, to prove that the check above can fail."""

    def supersedes(self, entry: Any, held: Any) -> bool:
        return True


def test_a_state_that_applies_the_last_arrival_regresses() -> None:
    network = make_network({"zone-a": 4}, state_type=LastArrivalState)
    network.publish(make_ticket(3, 3))
    network.run(TARGET_MS)
    reader = next(node for node in network.nodes.values() if node.is_reader)
    reader.exchange.merge_ticket(make_ticket(2, 2))
    assert reader.state.services["ledger"].slots == 2


def test_two_operators_race_on_one_number() -> None:
    network = make_network({"zone-a": 10, "zone-b": 10})
    first, second = list(network.nodes.values())[:: len(network.nodes) - 1]
    first.exchange.merge_ticket(make_ticket(9, 1))
    second.exchange.merge_ticket(make_ticket(9, 2))
    for node in (first, second):
        network.send_news(node)
    assert network.run(TARGET_MS, network.agree) < TARGET_MS
    assert {n.state.services["ledger"].slots for n in network.nodes.values()} <= {1, 2}
    assert sum(n.state.conflict_count for n in network.nodes.values()) > 0


class ImmediateJoinState(control.JoinState):
    """Serves at once, to prove that the check below can fail."""

    def update(self, neighbours: Any) -> None:
        self.is_ready = True


def is_ready(node: control_network.SimulatedNode) -> bool:
    return node.exchange.join_state.is_ready


def count_older_states(serves_at_once: bool, loss: float) -> int:
    """Restart nodes and count those that serve an older state than a neighbour."""
    network = make_network({"zone-a": 12, "zone-b": 8}, loss=loss, seed=7)
    network.check_every_ms = 0.0
    older = 0
    for number in range(1, 13):
        network.platform_open = lambda name: True
        network.publish(make_ticket(number))
        network.run(10_000)
        assert in_force(network, number)
        network.platform_open = lambda name: False
        name = sorted(network.nodes)[number]
        old = network.nodes[name].record
        node = network.start(network.make_record(name, old.service, old.zone))
        listed = network.platform.lists[old.zone]
        node.exchange.merge_published_list(old.zone, listed, 1)
        if serves_at_once:
            node.exchange.join_state = ImmediateJoinState(
                network.clock, network.settings
            )
        network.run(40_000, lambda: all(is_ready(n) for n in network.nodes.values()))
        assert is_ready(node)
        older += node.state.number < number
        network.run(3_000)
        own = node.exchange.announcer.record
        views = {other.table.records[name] for other in network.nodes.values()}
        assert {view.process for view in views} == {own.process}
    return older


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_a_restarted_node_serves_no_older_state_than_its_neighbours(
    loss: float,
) -> None:
    assert count_older_states(serves_at_once=False, loss=loss) == 0


def test_the_check_of_restarts_fails_for_a_node_that_serves_at_once() -> None:
    assert count_older_states(serves_at_once=True, loss=0.0) > 0


def test_a_node_without_neighbours_serves_alone_after_its_wait() -> None:
    network = control_network.SimulatedNetwork()
    node = network.start(network.make_record("a", "ledger", "zone-a"))
    network.run(2_900)
    assert not node.exchange.join_state.is_ready
    network.run(1_500)
    assert node.exchange.join_state.is_ready


def test_draining_reaches_every_node_and_outlives_late_copies() -> None:
    network = make_network({"zone-a": 15, "zone-b": 15}, duplication=0.3)
    node = network.nodes["zone-a-0003"]
    node.exchange.announce_own_state(draining=True)
    network.send_news(node)
    network.run(1_000)
    for other in network.nodes.values():
        record = other.table.get("zone-a-0003")
        assert record is not None
        assert record.draining
    assert network.agree_on_members()


def test_nodes_find_each_other_by_seeds_while_the_platform_is_down() -> None:
    seeds = (settings.Address("127.0.0.1", 1_024),)
    network = control_network.SimulatedNetwork(
        control_settings=settings.ControlSettings(seeds=seeds)
    )
    network.platform_open = lambda name: False
    network.fill({"zone-a": 8, "zone-b": 4}, whole_view=False)
    network.run(15_000)
    assert {len(n.table.instances()) for n in network.nodes.values()} == {12}
    assert network.agree_on_members()


def test_a_large_state_is_split_and_pulled_by_a_new_node() -> None:
    network = make_network({"zone-a": 5})
    reader = next(node for node in network.nodes.values() if node.is_reader)
    objects = {f"service/s-{at:04}": {"slots": 1 + at} for at in range(1_500)}
    parsed = tickets.parse_ticket({"number": 4, "author": "op", "objects": objects})
    assert isinstance(parsed, result.Ok)
    reader.exchange.merge_ticket(parsed.ok_value)
    network.send_news(reader)
    assert network.run(TARGET_MS, network.agree) < TARGET_MS
    pull = control.Pull({}, None)
    replies = reader.exchange.receive("zone-a-0000", pull)
    pushes = [reply for reply in replies if isinstance(reply, control.Push)]
    assert len(pushes) > 2
    assert all(control.measure_message(push) <= 49_152 for push in pushes)
    assert pushes[-1].is_end


def test_two_processes_of_one_name_do_not_raise_each_other_without_bound() -> None:
    network = make_network({"zone-a": 4})
    node = network.nodes["zone-a-0001"]
    twin = membership.OwnIncarnation(network.clock, network.settings, "zombie")
    for _ in range(500):
        twin.raise_above(*node.exchange.announcer.record.process)
        wire = node.exchange.announcer.record.as_wire()
        wire[5:7] = [twin.value, twin.boot_id]
        node.exchange.receive("zone-a-0002", control.Push([], [wire]))
        network.run(10)
    assert node.exchange.announcer.incarnation.raised_count <= 6
