"""Guards against requests that run with a key that was revoked long before.

The clients of each node send a request with the key at every step, also while the node
is cut off, frozen or just started.
"""

import json
from collections.abc import Callable
from typing import Any

import pytest

from jujubetiller import edge
from jujubetiller.mesh import _egress_site
from standins.fleet import mesh_fleet, store_fleet

SERVICES = {f"booth{number}-{number % 3 + 1}": "booth" for number in range(6)}
BOUNDS = (
    'strict_revoke = true\nrevoke = "5s"\nconfig_apply = "2.5s"\nquota_window = "5s"\n'
)
REVOCATION_MS = 5_000.0
STEP_MS = 100.0
KEY, OTHER_KEY = "key-to-revoke", "key-that-stays"
NODE, ZONE = "booth0-1", "1"


def make_configuration(version: int, *keys: str) -> bytes:
    document: dict[str, Any] = json.loads(mesh_fleet.make_configuration(version))
    document["tenants"] = [{"name": "kitchen", "api_keys": list(keys)}]
    return json.dumps(document).encode()


class KeyFleet:
    """A fleet whose clients send requests with one key at all nodes."""

    def __init__(self) -> None:
        self.fleet = store_fleet.StoreFleet(SERVICES, bounds=BOUNDS)
        self.network = self.fleet.network
        self.fleet.publish("op/config", make_configuration(20, KEY, OTHER_KEY))
        self.network.run_for(4_000.0)
        self.sent_at_ms: dict[str, float] = {}
        self.statuses: dict[str, int] = {}
        self.unread: list[tuple[str, str, str]] = []
        """Requests in the socket buffers of frozen nodes."""

    def send(self, node: str, key: str) -> None:
        request_id = f"{node}.{key}.{len(self.sent_at_ms)}"
        self.sent_at_ms[request_id] = self.network.now_ms
        process = self.network.processes[node]
        if process.is_frozen:
            self.unread.append((node, key, request_id))
        elif not process.is_dead:
            self.receive(node, key, request_id)

    def receive(self, node: str, key: str, request_id: str) -> None:
        headers = (("host", "a.example"), ("authorization", f"Bearer {key}"))
        control = {"jujubetiller-request-id": request_id}
        message = edge.EdgeMessage("GET", "/get/1", headers, control, b"")

        def reply(answer: edge.EdgeReply) -> None:
            self.statuses[request_id] = answer.status

        _egress_site.EgressSite(self.fleet.nodes[node].parts).handle(message, reply)

    def run(self, duration_ms: float, key: str = KEY) -> None:
        for _ in range(int(duration_ms / STEP_MS)):
            for node in SERVICES:
                self.send(node, key)
            self.network.run_for(STEP_MS)

    def thaw(self, node: str) -> None:
        """Wake a node; it reads the requests of its clients before anything else.

        Its own clock stands until then, and the deadlines with it.
        """
        unread, self.unread = self.unread, []
        self.network.processes[node].is_frozen = False
        for request in unread:
            self.receive(*request)
        self.network.settle(lambda: False)
        self.network.processes[node].is_frozen = True
        self.network.thaw(self.network.processes[node])

    def list_run(self) -> list[str]:
        """Return the ids of the requests that instances have run."""
        return [each for site in self.fleet.instances.values() for each in site.runs]

    def cut_from_all(self) -> None:
        for zone in ("2", "3", store_fleet.STORE_ZONE):
            self.network.cut(ZONE, zone)
            self.network.cut(zone, ZONE)


def do_nothing(world: KeyFleet) -> None:
    """Leave the fleet undisturbed."""


def cut_off(world: KeyFleet) -> None:
    world.cut_from_all()


def cut_store(world: KeyFleet) -> None:
    world.fleet.cut_store(ZONE)


def freeze(world: KeyFleet) -> None:
    world.network.processes[NODE].is_frozen = True


def restart_cut_off(world: KeyFleet) -> None:
    world.cut_from_all()
    world.fleet.kill_node(NODE)
    world.fleet.start_node(NODE)


def take_store_down(world: KeyFleet) -> None:
    world.fleet.store_site.cut_watches()
    world.fleet.store_site.down = True


@pytest.mark.parametrize(
    "fault",
    [do_nothing, cut_off, cut_store, freeze, restart_cut_off, take_store_down],
)
@pytest.mark.parametrize("since_ms", [0.0, 1_500.0])
def test_a_revoked_key_runs_nowhere_after_the_bound(
    fault: Callable[[KeyFleet], None], since_ms: float
) -> None:
    world = KeyFleet()
    world.run(500.0)
    assert len(world.list_run()) >= 20
    # The store acknowledges the revocation and is lost right afterwards.
    world.fleet.store.put("op/config", make_configuration(24, OTHER_KEY))
    revoked_at_ms = world.network.now_ms
    if fault is not take_store_down:
        world.network.run_for(1.0)
    fault(world)
    if not world.fleet.store_site.down:
        world.fleet.store_site.notify_watches()
    world.run(8_000.0)
    world.network.cuts.clear()
    world.fleet.store_site.down = False
    world.thaw(NODE)
    world.run(since_ms + 3_000.0)
    late = [
        request_id
        for request_id in world.list_run()
        if world.sent_at_ms[request_id] > revoked_at_ms + REVOCATION_MS
    ]
    assert late == []
    world.run(1_000.0, OTHER_KEY)
    served = [each for each in world.list_run() if OTHER_KEY in each]
    assert len(served) >= 0.9 * 10 * len(SERVICES)


@pytest.mark.parametrize("offset_ms", [0.0, 200.0, 400.0, 600.0])
@pytest.mark.parametrize("fault", [cut_off, take_store_down])
def test_a_cut_shorter_than_three_seconds_refuses_nobody(
    fault: Callable[[KeyFleet], None], offset_ms: float
) -> None:
    world = KeyFleet()
    world.network.run_for(offset_ms)
    fault(world)
    world.run(2_900.0, OTHER_KEY)
    world.network.cuts.clear()
    world.fleet.store_site.down = False
    world.run(3_000.0, OTHER_KEY)
    counters = [node.parts.keys.refused for node in world.fleet.nodes.values()]
    assert [counter for counter in counters if any(counter.values())] == []


def test_a_new_key_is_never_denied_after_its_time() -> None:
    """Guards against 401 of a node that does not know the key yet."""
    world = KeyFleet()
    world.cut_from_all()
    world.fleet.publish("op/config", make_configuration(24, KEY, "new-key"))
    world.network.run_for(2_500.0)
    world.run(3_000.0, "new-key")
    assert 401 not in world.statuses.values()
    assert 503 in world.statuses.values()
