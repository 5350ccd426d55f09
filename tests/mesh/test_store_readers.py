"""Guards against reads of the store that grow with the fleet, and against late news."""

import pytest
from twisted.internet import address as internet_address

from jujubetiller.mesh import _state_push, _store_reading
from standins.fleet import _port, store_fleet

ZONES = 5
READERS = 2 * ZONES

APPLY_MS = 2_000.0
"""A change of the configuration is in force this long after its acknowledgement."""

STABLE_WINDOW_MS = 3_000.0
"""Configurations are in force again this long after connections went silent."""

SPARE_MS = 500.0

SPREAD_MS = 1_000.0
"""Time in which a change reaches all nodes while nothing is disturbed."""


def make_fleet(size: int, zones: int = ZONES) -> store_fleet.StoreFleet:
    """Return a fleet of ``size`` nodes that has chosen its readers."""
    names = {f"booth{number}-{number % zones + 1}": "booth" for number in range(size)}
    fleet = store_fleet.StoreFleet(names)
    fleet.network.run_for(1_500.0)
    return fleet


def find_readers(fleet: store_fleet.StoreFleet, zone: str = "") -> list[str]:
    """Return the nodes that read the store, of one zone or of all."""
    return [
        name
        for name, node in fleet.nodes.items()
        if node.reading.is_reading
        and zone in ("", fleet.places[name].zone)
        and not fleet.network.processes[name].is_dead
    ]


def find_primary(fleet: store_fleet.StoreFleet, zone: str) -> str:
    """Return the reader of a zone that the others rely on."""
    return next(
        name
        for name in find_readers(fleet, zone)
        if fleet.nodes[name].reading.choice.is_primary()
    )


def find_versions(fleet: store_fleet.StoreFleet, zone: str = "") -> set[int]:
    """Return the versions in force at the nodes that are up."""
    return {
        store_fleet.version_of(node)
        for name, node in fleet.nodes.items()
        if zone in ("", fleet.places[name].zone)
        and not fleet.network.processes[name].is_dead
    }


@pytest.mark.parametrize("size", [20, 60, 200])
def test_calls_of_the_store_do_not_grow_with_the_fleet(size: int) -> None:
    fleet = make_fleet(size)
    # One stale page for each node, and the first reads of the readers.
    assert fleet.store_site.calls <= size + 5 * READERS
    assert len(find_readers(fleet)) == READERS
    before = fleet.store_site.calls
    for version in (20, 24, 28):
        fleet.publish_configuration(version, "booth")
        fleet.network.run_for(1_000.0)
    assert find_versions(fleet) == {28}
    assert fleet.store_site.calls - before <= 5 * READERS


def test_a_change_reaches_all_nodes_soon() -> None:
    fleet = make_fleet(30)
    for version in (20, 24, 28):
        fleet.publish_configuration(version, "booth")
        fleet.network.run_for(SPREAD_MS)
        assert find_versions(fleet) == {version}


@pytest.mark.parametrize("must_vanish", [False, True])
def test_a_change_is_in_time_when_all_readers_of_a_zone_are_lost(
    must_vanish: bool,
) -> None:
    fleet = make_fleet(30)
    for name in find_readers(fleet, "1"):
        process = fleet.network.processes[name]
        lose = fleet.network.vanish if must_vanish else fleet.network.kill
        lose(process)
    fleet.publish_configuration(20, "booth")
    fleet.network.run_for(APPLY_MS - SPARE_MS)
    assert find_versions(fleet) == {20}
    fleet.network.run_for(3_000.0)
    assert len(find_readers(fleet, "1")) == 2


def test_a_zone_that_is_cut_off_finds_new_readers_in_time() -> None:
    fleet = make_fleet(30)
    for zone in "2345":
        fleet.network.cut("1", zone)
        fleet.network.cut(zone, "1")
    for name in find_readers(fleet, "1"):
        fleet.kill_node(name)
    fleet.publish_configuration(20, "booth")
    fleet.network.run_for(APPLY_MS - SPARE_MS)
    assert find_versions(fleet) == {20}


def test_a_zone_that_is_cut_from_the_store_gets_changes_from_the_others() -> None:
    fleet = make_fleet(30)
    fleet.cut_store("1")
    fleet.network.run_for(10_000.0)
    calls = fleet.store_site.calls
    fleet.publish_configuration(20, "booth")
    fleet.network.run_for(APPLY_MS - SPARE_MS)
    assert find_versions(fleet) == {20}
    assert fleet.store_site.calls - calls <= 4 * READERS


@pytest.mark.parametrize("since_change_ms", [20.0, 400.0, 1_200.0, 2_500.0, 4_400.0])
@pytest.mark.parametrize("is_primary_lost", [False, True])
def test_a_change_is_in_time_after_all_connections_to_the_store_went_silent(
    since_change_ms: float, is_primary_lost: bool
) -> None:
    """Guards against readers that all wait for silent connections at the same time.

    An earlier change makes them all start their watches within a second.
    """
    fleet = make_fleet(30)
    fleet.network.run_for(5_000.0)
    fleet.publish_configuration(20, "booth")
    fleet.network.run_for(since_change_ms)
    fleet.silence_store()
    if is_primary_lost:
        fleet.network.vanish(fleet.network.processes[find_primary(fleet, "1")])
    fleet.network.run_for(500.0)
    fleet.publish_configuration(24, "booth")
    fleet.network.run_for(STABLE_WINDOW_MS - 500.0)
    assert find_versions(fleet) == {24}


def test_a_change_is_in_time_after_a_second_silence() -> None:
    fleet = make_fleet(30)
    fleet.network.run_for(5_000.0)
    fleet.silence_store()
    fleet.publish_configuration(20, "booth")
    fleet.network.run_for(1_900.0)
    fleet.silence_store()
    fleet.network.run_for(STABLE_WINDOW_MS)
    assert find_versions(fleet) == {20}


def test_a_fleet_that_lost_power_reads_little_and_is_soon_ready() -> None:
    fleet = make_fleet(30)
    before = fleet.store_site.calls
    for name in fleet.places:
        fleet.network.vanish(fleet.network.processes[name])
    for name in fleet.places:
        fleet.start_node(name)
    fleet.network.run_for(1_500.0)
    assert all(node.parts.is_ready() for node in fleet.nodes.values())
    assert fleet.store_site.calls - before <= 30 + 4 * READERS


def test_a_store_that_returns_is_not_read_by_all() -> None:
    fleet = make_fleet(30)
    before = fleet.store_site.calls
    fleet.store_site.down = True
    fleet.store_site.cut_watches()
    fleet.network.run_for(8_000.0)
    # Each node that was asked to read tries now and then; readers once a second.
    assert fleet.store_site.calls - before <= 20 * READERS
    fleet.store_site.down = False
    fleet.network.run_for(1_200.0)
    fleet.publish_configuration(20, "booth")
    fleet.network.run_for(APPLY_MS - SPARE_MS)
    assert find_versions(fleet) == {20}
    fleet.network.run_for(10_000.0)
    assert len(find_readers(fleet)) == READERS


def test_a_node_that_starts_while_the_store_is_down_is_told_by_a_reader() -> None:
    fleet = make_fleet(30)
    fleet.store_site.down = True
    fleet.store_site.cut_watches()
    name = next(name for name in fleet.nodes if name not in find_readers(fleet))
    fleet.kill_node(name)
    node = fleet.start_node(name)
    fleet.network.run_for(5_000.0)
    assert node.parts.is_ready()


def test_a_removal_is_final_for_nodes_that_do_not_read() -> None:
    """Guards against calls to an instance that is gone, and to none after an outage."""
    fleet = make_fleet(30)
    fleet.network.run_for(3_000.0)
    fleet.publish("servers/booth7-3", None)
    fleet.network.run_for(SPREAD_MS)
    others = [node for name, node in fleet.nodes.items() if name != "booth7-3"]
    assert not any("booth7-3" in node.parts.directory.listed for node in others)
    fleet.store_site.down = True
    fleet.store_site.cut_watches()
    fleet.publish("servers/booth8-4", None)
    fleet.network.run_for(2_000.0)
    fleet.store_site.down = False
    fleet.network.run_for(2_000.0)
    assert all("booth8-4" in node.parts.directory.listed for node in others)
    fleet.network.run_for(3_000.0)
    assert not any("booth8-4" in node.parts.directory.listed for node in others)


@pytest.mark.parametrize("size", [20, 50])
def test_an_idle_node_gets_few_frames_at_every_size(size: int) -> None:
    """Guards against heartbeats of streams that were opened once and are not needed."""
    fleet = make_fleet(size)
    fleet.network.run_for(12_000.0)
    before = count_frames(fleet)
    fleet.network.run_for(5_000.0)
    rounds = 5_000.0 / fleet.nodes["booth0-1"].settings.exchange_ms
    # A request and its answer in each round of a node, twice that for the readers,
    # and heartbeats of the few streams that are kept.
    messages = 2 * rounds * (size + 2 * READERS)
    assert count_frames(fleet) - before <= 1.5 * messages


def count_frames(fleet: store_fleet.StoreFleet) -> int:
    """Return the number of frames that the nodes have received."""
    return sum(node.parts.pool.statistics().frames_in for node in fleet.nodes.values())


def test_a_push_with_an_invalid_host_is_rejected() -> None:
    fleet = make_fleet(3)
    node = fleet.nodes["booth0-1"]
    push = node.reading.pusher._make_push()
    valid = _state_push.StatePush(push.sender, push.base, push.answer, ("127.0.9.2",))
    assert _state_push.decode_push(valid.encode()).unwrap() == valid
    wrong = _state_push.StatePush(push.sender, push.base, push.answer, ("a host",))
    assert _state_push.decode_push(wrong.encode()).is_err()
    for body in (b"", b"\xc1", b"\x91\x01", valid.encode()[:-1]):
        assert _state_push.decode_push(body).is_err()


def test_a_node_that_finds_no_other_one_reads_the_store_itself() -> None:
    fleet = make_fleet(2, zones=2)
    pauses_ms = _store_reading.MAX_PEEKS * _store_reading.PEEK_PAUSE_MS
    fleet.network.run_for(pauses_ms)
    assert len(find_readers(fleet)) == 2


def test_a_reader_that_stops_asks_no_node_after_its_streams_are_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against errors in the last steps of a planned stop."""

    def find_open_address(port: _port.Port) -> internet_address.IPv4Address:
        """Return the address of a port; a closed one has none, as in Twisted."""
        if port.process.network.ports.get(port.number) is not port:
            raise AttributeError("the port is closed")
        return port.address

    monkeypatch.setattr(_port.Port, "getHost", find_open_address)
    fleet = make_fleet(10, zones=2)
    for name in find_readers(fleet, "1"):
        fleet.nodes[name].drain()
    fleet.network.run_for(10_000.0)
    for node in fleet.nodes.values():
        statistics = node.parts.pool.statistics()
        assert statistics.refusals["handler_failed"] == 0
        assert statistics.refusals["answer_callback_failed"] == 0
    assert len(find_readers(fleet, "1")) >= 2
