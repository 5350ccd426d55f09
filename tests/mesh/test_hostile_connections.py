"""Guards against clients that occupy all connections of a node and send little.

The nodes have fewer descriptors than on the platform, so that few clients suffice.
"""

import contextlib
import pathlib
from collections.abc import Iterator

import pytest

from standins import mesh_site
from tests.mesh import hostile_clients

MEMORY_MB = 112
MAX_FDS = 600
MAX_SOCKETS = MAX_FDS - 200
"""The platform reserves 200 descriptors for files."""

CLIENTS = 700
CLIENTS_AT_ONCE = 50

SENT = {
    "nothing": b"",
    "half_a_head": hostile_clients.HEAD + b"a: b",
    "half_a_body": hostile_clients.HEAD + b"Content-Length: 1000\r\n\r\n" + b"x" * 500,
    "a_blank_line": b"\r\n",
}


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[mesh_site.LocalMeshSite]:
    with hostile_clients.start_site(
        tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS
    ) as started:
        yield started


def open_connections(crowd: hostile_clients.Crowd, sent: bytes) -> None:
    """Have more clients connect than the node has descriptors."""
    for _ in range(CLIENTS // CLIENTS_AT_ONCE):
        crowd.run(CLIENTS_AT_ONCE, lambda: [sent])


def check_site(site: mesh_site.LocalMeshSite) -> None:
    """Check all nodes, while the connections of the crowds are open."""
    node = site.nodes["ledger-1"]
    assert hostile_clients.count_sockets(node) <= MAX_SOCKETS
    assert node.ask("/get/1", "after")[0] == 200
    assert node.readiness() == 200
    for process in site.nodes.values():
        assert process.process.poll() is None
        assert hostile_clients.read_peak_mb(process) <= MEMORY_MB


@pytest.mark.parametrize("form", SENT)
def test_connections_of_clients(site: mesh_site.LocalMeshSite, form: str) -> None:
    crowd = hostile_clients.Crowd(site.nodes["ledger-1"])
    with contextlib.closing(crowd):
        open_connections(crowd, SENT[form])
        check_site(site)


@pytest.mark.parametrize("listener", ["readiness", "metrics", "peer"])
def test_connections_to_other_listeners(
    site: mesh_site.LocalMeshSite, listener: str
) -> None:
    crowd = hostile_clients.Crowd(site.nodes["ledger-1"], listener)
    with contextlib.closing(crowd):
        open_connections(crowd, SENT["half_a_head"])
        check_site(site)


def test_connections_to_all_listeners(site: mesh_site.LocalMeshSite) -> None:
    with contextlib.ExitStack() as stack:
        for listener in ("egress", "readiness", "metrics", "peer"):
            crowd = hostile_clients.Crowd(site.nodes["ledger-1"], listener)
            stack.enter_context(contextlib.closing(crowd))
            open_connections(crowd, SENT["nothing"])
        check_site(site)
