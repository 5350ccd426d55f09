"""Guards against clients that exhaust a node by listeners that are not theirs."""

import contextlib
import pathlib
from collections.abc import Callable, Iterable, Iterator

import pytest

from standins import mesh_site
from tests.mesh import hostile_clients

MEMORY_MB = 80
"""Requests to these listeners are small, so a node needs little more than when idle."""

MAX_BODY_BYTES = 25_165_824
MOST_OF_A_BODY = MAX_BODY_BYTES * 99 // 100
MAX_DESCRIPTORS = 120
CLIENTS = 12
ROUNDS = 3
PEERS = 400
PEERS_AT_ONCE = 200
FRAME_BYTES = 65_536
"""The longest frame that nodes send each other."""

PART_OF_A_FRAME = FRAME_BYTES.to_bytes(4, "big") + b"x" * (FRAME_BYTES - 1_000)


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[mesh_site.LocalMeshSite]:
    with hostile_clients.start_site(
        tmp_path, MAX_BODY_BYTES, memory_mb=MEMORY_MB
    ) as started:
        yield started


def check_site(site: mesh_site.LocalMeshSite) -> None:
    """Check all nodes, while the connections of the latest crowd are open."""
    node = site.nodes["booth-1"]
    assert site.nodes["ledger-1"].ask("/get/1", "after")[0] == 200
    assert node.ask("/get/1", "after")[0] == 200
    assert node.readiness() == 200
    assert hostile_clients.count_descriptors(node) <= MAX_DESCRIPTORS
    for process in site.nodes.values():
        assert process.process.poll() is None
        assert hostile_clients.read_peak_mb(process) <= MEMORY_MB


FORMS: dict[str, Callable[[], Iterable[bytes]]] = {
    "one_chunk": lambda: hostile_clients.send_one_chunk(MAX_BODY_BYTES, MOST_OF_A_BODY),
    "with_a_length": lambda: hostile_clients.send_body(
        MAX_BODY_BYTES, MOST_OF_A_BODY, 60_000
    ),
    "head_without_end": lambda: hostile_clients.repeat(
        hostile_clients.HEAD + b"a: ", b"b", 1_048_576
    ),
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("listener", ["readiness", "metrics"])
def test_crowds_at_the_status_listeners(
    site: mesh_site.LocalMeshSite, listener: str, form: str
) -> None:
    for _ in range(ROUNDS):
        crowd = hostile_clients.Crowd(site.nodes["booth-1"], listener)
        with contextlib.closing(crowd):
            crowd.run(CLIENTS, FORMS[form])
            check_site(site)


def test_parts_of_frames_at_the_listener_for_peers(
    site: mesh_site.LocalMeshSite,
) -> None:
    crowd = hostile_clients.Crowd(site.nodes["booth-1"], "peer")
    with contextlib.closing(crowd):
        for _ in range(ROUNDS * PEERS // PEERS_AT_ONCE):
            crowd.run(PEERS_AT_ONCE, lambda: [PART_OF_A_FRAME])
        check_site(site)
