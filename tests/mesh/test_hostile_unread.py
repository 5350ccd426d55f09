"""Guards against clients whose bytes wait in the system until the node reads them.

On the platform they count towards the memory of the node's VM.
"""

import contextlib
import pathlib
import threading
from collections.abc import Iterator

import pytest

from standins import mesh_site
from tests.mesh import hostile_clients

MEMORY_MB = 112
MAX_BODY_BYTES = 25_165_824
CLIENTS = 400
SENT_BYTES = 2_097_152
SAMPLE_INTERVAL_S = 0.02


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[mesh_site.LocalMeshSite]:
    with hostile_clients.start_site(
        tmp_path, MAX_BODY_BYTES, memory_mb=MEMORY_MB
    ) as started:
        yield started


class Sampler:
    """Records the highest sum of resident memory and unread bytes while it runs."""

    def __init__(self, node: mesh_site.MeshProcess) -> None:
        self.node = node
        self.highest_mb = 0.0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self) -> "Sampler":
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.ended.set()
        self.thread.join()

    def run(self) -> None:
        while not self.ended.wait(SAMPLE_INTERVAL_S):
            held_mb = hostile_clients.read_resident_mb(self.node)
            held_mb += hostile_clients.read_unread_mb(self.node, "egress")
            self.highest_mb = max(self.highest_mb, held_mb)


def test_bytes_that_the_node_does_not_read(site: mesh_site.LocalMeshSite) -> None:
    node = site.nodes["ledger-1"]
    crowd = hostile_clients.Crowd(node)
    with contextlib.closing(crowd):
        with Sampler(node) as sampler:
            crowd.run(CLIENTS, lambda: hostile_clients.send_chunks(SENT_BYTES, 65_536))
            assert node.ask("/get/1", "after")[0] == 200
        assert sampler.highest_mb <= MEMORY_MB
        assert node.process.poll() is None
