"""Guards against clients that end or block a node by exhausting its memory.

The nodes have less memory than on the platform, so that few clients suffice. The
numbers of clients and the bounds were fixed on code without an account of the memory.
"""

import contextlib
import itertools
import pathlib
from collections.abc import Iterator

import pytest

from standins import mesh_site
from tests.mesh import hostile_clients

MEMORY_MB = 112
MAX_BODY_BYTES = 4_194_304
MAX_DESCRIPTORS = 120
MOST_OF_A_BODY = MAX_BODY_BYTES * 99 // 100
BODIES = 40
SMALL_CHUNK_CLIENTS = 8
SMALL_CHUNK_BODY_BYTES = 150_000
HEADS = 320
HEADS_OF_FIELDS = 64
BLANK_LINE_CLIENTS = 4_000
HEAD_CLIENTS = 16
HEAD_MEMORY_MB = 60
"""Heads and blank lines are small, so a node needs little more than when idle."""

ENDLESS_BYTES = 1_048_576


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[mesh_site.LocalMeshSite]:
    with contextlib.ExitStack() as stack:
        started = mesh_site.LocalMeshSite(tmp_path, stack)
        started.extra_settings = f"[limits]\nmemory_mb = {MEMORY_MB}\n"
        started.request_limits = {"max_body_bytes": MAX_BODY_BYTES}
        started.start()
        yield started


@contextlib.contextmanager
def check_node(
    site: mesh_site.LocalMeshSite, bound_mb: int
) -> Iterator[hostile_clients.Crowd]:
    """Let a crowd at one node; check all nodes while the connections are open."""
    node = site.nodes["ledger-1"]
    crowd = hostile_clients.Crowd(node)
    try:
        yield crowd
        assert node.process.poll() is None
        assert hostile_clients.count_descriptors(node) <= MAX_DESCRIPTORS
        assert node.ask("/get/1", "after")[0] == 200
        for process in site.nodes.values():
            assert process.process.poll() is None
            assert hostile_clients.read_peak_mb(process) <= bound_mb
    finally:
        crowd.close()


def test_heads_over_the_limit_and_without_end(site: mesh_site.LocalMeshSite) -> None:
    start = hostile_clients.HEAD
    with check_node(site, HEAD_MEMORY_MB) as crowd:
        for _ in range(HEADS_OF_FIELDS // HEAD_CLIENTS):
            crowd.run(
                HEAD_CLIENTS,
                lambda: hostile_clients.repeat(start, b"a: b\r\n", ENDLESS_BYTES),
            )
        for _ in range(HEADS // HEAD_CLIENTS):
            crowd.run(
                HEAD_CLIENTS,
                lambda: hostile_clients.repeat(start + b"a: ", b"b", ENDLESS_BYTES),
            )


def test_blank_lines_without_end(site: mesh_site.LocalMeshSite) -> None:
    with check_node(site, HEAD_MEMORY_MB) as crowd:
        for _ in range(BLANK_LINE_CLIENTS // HEAD_CLIENTS):
            crowd.run(
                HEAD_CLIENTS,
                lambda: hostile_clients.repeat(b"", b"\r\n", ENDLESS_BYTES),
            )


def test_large_bodies_that_stop_short_of_their_end(
    site: mesh_site.LocalMeshSite,
) -> None:
    pieces = itertools.cycle((MOST_OF_A_BODY, 16_384, 60_000, MAX_BODY_BYTES))
    with check_node(site, MEMORY_MB) as crowd:
        crowd.run(
            BODIES,
            lambda: hostile_clients.send_body(
                MAX_BODY_BYTES,
                MOST_OF_A_BODY if (piece := next(pieces)) < MAX_BODY_BYTES else piece,
                piece,
            ),
        )


def test_chunked_bodies_that_stop_short_of_their_end(
    site: mesh_site.LocalMeshSite,
) -> None:
    with check_node(site, MEMORY_MB) as crowd:
        for chunk_bytes in (1, 3):
            crowd.run(
                SMALL_CHUNK_CLIENTS,
                lambda size=chunk_bytes: hostile_clients.send_chunks(  # type: ignore[misc]
                    SMALL_CHUNK_BODY_BYTES, size
                ),
            )
        crowd.run(
            BODIES,
            lambda: hostile_clients.send_chunks(MOST_OF_A_BODY, 60_000),
        )
