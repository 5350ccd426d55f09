"""Guards against an odd entry of another writer that costs more than itself."""

from typing import Any

import pytest

from standins.fleet import mesh_fleet, store_fleet
from standins.mesh_site import documents

SERVICES = {f"{s}-{zone}": s for s in ("booth", "ledger") for zone in (1, 2)}

FAR_FUTURE_MS = 4_000_000_000_000
"""A Unix time in the year 2096."""


def entry(**changes: Any) -> bytes:
    """Return an entry of a booth at the address of a living one, with ``changes``."""
    at_living_one = {"service": "booth", "address": "127.0.9.1:8301", "zone": "1"}
    return documents.encode(documents.INSTANCE, **{**at_living_one, **changes})


ODD_VALUES: dict[str, bytes] = {
    "no text": b"\xff\xfe",
    "empty": b"",
    "nested lists": b"[" * 100_000 + b"]" * 100_000,
    "nested field": entry().replace(b'"booth"', b"[" * 900 + b"]" * 900),
    "port of 5,000 digits": entry(address="127.0.9.1:" + "9" * 5_000),
    "port 0": entry(address="127.0.9.9:0"),
    "port 70000": entry(address="127.0.9.9:70000"),
    "no host": entry(address=":80"),
    "number of 6,000 digits": entry().replace(b"29", b"9" * 6_000),
    "number 1e400": entry().replace(b"29", b"1e400"),
    "not a number": entry().replace(b"29", b"NaN"),
    "capacity too large": entry(capacity=10**15, address="127.0.9.9:1"),
    "slow start of years": entry(warmup_left="999999999s", address="127.0.9.9:1"),
    "service that is no text": entry(address="127.0.9.9:1", service="\ud800"),
    "zone that is no text": entry(address="127.0.9.9:1", zone="\udfff"),
    "start in the far future": entry(born=FAR_FUTURE_MS, sequence=10**9),
}

ODD_KEYS = [
    "servers/",
    "servers/\u732b",
    "servers/a\r\nb",
    "servers/" + "x" * 400,
]


def serves_all(fleet: mesh_fleet.MeshFleet) -> bool:
    """Return whether all requests that are sent now are answered by both booths."""
    counts = [len(fleet.instances[name].arrivals) for name in ("booth-1", "booth-2")]
    since_ms = fleet.network.now_ms
    fleet.run_load(2_000.0, 50.0, "ledger-1", "ledger-2")
    fleet.network.run_for(1_000.0)
    got = [len(fleet.instances[name].arrivals) for name in ("booth-1", "booth-2")]
    are_used = all(later > before for later, before in zip(got, counts, strict=True))
    return are_used and set(fleet.count_statuses("get", since_ms)) == {200}


def start_fleet() -> store_fleet.StoreFleet:
    fleet = store_fleet.StoreFleet(SERVICES)
    fleet.network.run_for(3_000.0)
    return fleet


def check(fleet: store_fleet.StoreFleet) -> None:
    """Check that all nodes apply what was published beside the odd entry."""
    fleet.publish_configuration(16, "booth")
    fleet.network.run_for(2_000.0)
    assert set(fleet.versions().values()) == {16}
    for node in fleet.nodes.values():
        assert node.state.observer_errors == 0
        assert node.source.read_counters()["answer_malformed"] == 0
    assert serves_all(fleet)


@pytest.mark.parametrize("name", ODD_VALUES)
def test_an_odd_entry_that_a_watch_brings_costs_no_other(name: str) -> None:
    fleet = start_fleet()
    fleet.publish("servers/odd", ODD_VALUES[name])
    check(fleet)


@pytest.mark.parametrize("name", ODD_VALUES)
def test_an_odd_entry_that_a_listing_brings_costs_no_other(name: str) -> None:
    fleet = start_fleet()
    fleet.kill_node("ledger-1")
    fleet.publish("servers/odd", ODD_VALUES[name])
    fleet.start_node("ledger-1")
    fleet.network.run_for(2_000.0)
    check(fleet)


@pytest.mark.parametrize("name", ODD_VALUES)
def test_an_odd_entry_that_peers_pass_on_costs_no_other(name: str) -> None:
    fleet = start_fleet()
    fleet.cut_store("1")
    fleet.publish("servers/odd", ODD_VALUES[name])
    fleet.network.run_for(2_000.0)
    check(fleet)


@pytest.mark.parametrize("name", ODD_VALUES)
def test_an_instance_whose_entry_was_odd_is_used_again_after_its_next_report(
    name: str,
) -> None:
    fleet = start_fleet()
    fleet.publish("servers/booth-1", ODD_VALUES[name])
    fleet.network.run_for(2_000.0)
    fleet.publish_instance("booth-1", sequence=9)
    fleet.network.run_for(2_000.0)
    check(fleet)


@pytest.mark.parametrize("key", ODD_KEYS)
def test_an_odd_key_costs_no_other_entry(key: str) -> None:
    fleet = start_fleet()
    fleet.publish(key, entry())
    check(fleet)
