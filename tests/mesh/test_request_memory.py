"""Guards against requests that stay in memory until the garbage collector runs.

Collections are rare, so requests in reference cycles add up: with bodies of 500 KB,
nodes exceeded their memory within seconds.
"""

import gc
from collections.abc import Callable

import pytest

from jujubetiller import calls, target
from standins.fleet import mesh_fleet

SERVICES = {
    "booth-1": "booth",
    "booth-2": "booth",
    "ledger-1": "ledger",
    "ledger-2": "ledger",
}
ROUNDS = 10
SETTLE_MS = 4_000.0
"""Longer than the timeout of the routes, so that all requests have ended."""


def send_all(fleet: mesh_fleet.MeshFleet, kind: str) -> None:
    for number in range(ROUNDS):
        for entry in SERVICES:
            fleet.send(entry, kind, name=str(number))
        fleet.network.run_for(50.0)


def send_reads(fleet: mesh_fleet.MeshFleet) -> None:
    send_all(fleet, "get")


def send_bookings(fleet: mesh_fleet.MeshFleet) -> None:
    send_all(fleet, "book")


def send_to_instances_that_refuse(fleet: mesh_fleet.MeshFleet) -> None:
    set_faults(fleet, "shed")
    send_all(fleet, "get")


def send_to_instances_whose_answers_are_lost(fleet: mesh_fleet.MeshFleet) -> None:
    set_faults(fleet, "lost")
    send_all(fleet, "get")
    send_all(fleet, "book")


def send_more_than_instances_take(fleet: mesh_fleet.MeshFleet) -> None:
    for number in range(200):
        fleet.send("ledger-1", name=str(number))


def send_beside_a_crash(fleet: mesh_fleet.MeshFleet) -> None:
    send_more_than_instances_take(fleet)
    fleet.network.run_for(10.0)
    fleet.crash_instance("booth-1")
    fleet.network.run_for(50.0)
    send_more_than_instances_take(fleet)


def set_faults(fleet: mesh_fleet.MeshFleet, fault: str) -> None:
    for instance in fleet.instances.values():
        instance.fault = fault


def count_requests() -> int:
    """Return the number of requests in memory."""
    types = (calls.CallRequest, target.TargetRequest)
    return sum(isinstance(found, types) for found in gc.get_objects())


@pytest.mark.parametrize(
    "play",
    [
        send_reads,
        send_bookings,
        send_to_instances_that_refuse,
        send_to_instances_whose_answers_are_lost,
        send_more_than_instances_take,
        send_beside_a_crash,
    ],
)
def test_a_request_that_has_ended_is_freed_without_a_collection(
    play: Callable[[mesh_fleet.MeshFleet], None],
) -> None:
    fleet = mesh_fleet.MeshFleet(SERVICES)
    gc.collect()
    before = count_requests()
    gc.disable()
    try:
        play(fleet)
        fleet.network.run_for(SETTLE_MS)
        assert count_requests() == before
    finally:
        gc.enable()
