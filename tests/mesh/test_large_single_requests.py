"""Guards against limits on memory that refuse a single request of legal size.

The nodes have the least memory that the platform gives them.
"""

import contextlib
import pathlib
import socket
from collections.abc import Iterable, Iterator

import pytest

from standins import mesh_site
from tests.mesh import hostile_clients

MEMORY_MB = 200
MAX_BODY_BYTES = 67_108_864
"""The largest body that the sample configuration allows."""

BYTEWISE_BODY_BYTES = 4_194_304
ANSWER_TIMEOUT_S = 240.0
LAST_CHUNK = b"0\r\n\r\n"
CLIENTS = 600
CLIENTS_AT_ONCE = 100
SMALL_REQUEST = b"GET /get/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"
REQUESTS_SENT_AHEAD = 1_500
MAX_QUESTIONS = 1_000
"""More than a node answers until the memory of a crowd is free again."""


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[mesh_site.LocalMeshSite]:
    with hostile_clients.start_site(tmp_path, memory_mb=MEMORY_MB) as started:
        yield started


def ask(node: mesh_site.MeshProcess, parts: Iterable[bytes]) -> bytes:
    """Send a request and return the first line of the answer."""
    address = node.host, node.ports + mesh_site.OFFSETS["egress"]
    with socket.create_connection(address, ANSWER_TIMEOUT_S) as connection:
        # A refused request may be reset while it is sent.
        with contextlib.suppress(OSError):
            for part in parts:
                connection.sendall(part)
        with contextlib.suppress(OSError), connection.makefile("rb") as answer:
            return answer.readline()
    return b""


def end_chunks(parts: Iterable[bytes], end: bytes) -> Iterator[bytes]:
    """Yield ``parts``, then ``end`` and the end of a body in chunks."""
    yield from parts
    yield end + LAST_CHUNK


def test_single_requests_of_the_largest_size(site: mesh_site.LocalMeshSite) -> None:
    node = site.nodes["ledger-1"]
    requests = {
        "with a length": hostile_clients.send_body(
            MAX_BODY_BYTES, MAX_BODY_BYTES, 65_536
        ),
        "in one chunk": end_chunks(
            hostile_clients.send_one_chunk(MAX_BODY_BYTES, MAX_BODY_BYTES), b"\r\n"
        ),
        "in chunks of 64 KB": end_chunks(
            hostile_clients.send_chunks(MAX_BODY_BYTES, 65_536), b""
        ),
        "in chunks of 1 byte": end_chunks(
            hostile_clients.send_chunks(BYTEWISE_BODY_BYTES, 1), b""
        ),
    }
    for form, parts in requests.items():
        assert ask(node, parts).startswith(b"HTTP/1.1 200 "), form
    assert node.ask("/get/1", "after")[0] == 200
    for process in site.nodes.values():
        assert process.process.poll() is None
        assert hostile_clients.read_peak_mb(process) <= MEMORY_MB


def test_a_single_request_after_a_crowd(site: mesh_site.LocalMeshSite) -> None:
    """Guards against a crowd whose memory stays resident after it has left."""
    node = site.nodes["ledger-1"]
    crowd = hostile_clients.Crowd(node)
    with contextlib.closing(crowd):
        for _ in range(CLIENTS // CLIENTS_AT_ONCE):
            crowd.run(CLIENTS_AT_ONCE, lambda: [SMALL_REQUEST * REQUESTS_SENT_AHEAD])
    answers = (
        ask(node, hostile_clients.send_body(MAX_BODY_BYTES, MAX_BODY_BYTES, 65_536))
        for _ in range(MAX_QUESTIONS)
    )
    assert any(answer.startswith(b"HTTP/1.1 200 ") for answer in answers)
    for process in site.nodes.values():
        assert process.process.poll() is None
        assert hostile_clients.read_peak_mb(process) <= MEMORY_MB
