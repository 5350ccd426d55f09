"""Guards against refusals during a crowd that are not true.

The statuses 408, 421, 429 and 503 promise that a request has not run and never will.
"""

import contextlib
import itertools
import pathlib
import socket
import threading
from collections.abc import Iterable, Iterator

import pytest

from standins import mesh_site
from tests.mesh import hostile_clients

MEMORY_MB = 112
MAX_BODY_BYTES = 25_165_824
MOST_OF_A_BODY = MAX_BODY_BYTES * 99 // 100
CLIENTS = 12
ROUNDS = 4
ANSWER_TIMEOUT_S = 10.0
PROMISES = (408, 421, 429, 503)

SMALL_BYTES = 100
LARGE_BYTES = 300_000
"""Large enough to be refused while the node holds much."""

IDS = itertools.count()


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[mesh_site.LocalMeshSite]:
    with hostile_clients.start_site(
        tmp_path, MAX_BODY_BYTES, memory_mb=MEMORY_MB
    ) as started:
        yield started


def encode(request: str, body_bytes: int) -> bytes:
    """Return a request with a body of ``body_bytes``."""
    head = hostile_clients.HEAD + (
        f"Jujubetiller-Request-Id: {request}\r\nContent-Length: {body_bytes}\r\n\r\n"
    ).encode("ascii")
    return head + b"x" * body_bytes


def read_statuses(connection: socket.socket, number: int) -> list[int]:
    """Return the statuses of up to ``number`` answers; fewer after a close."""
    statuses: list[int] = []
    with contextlib.suppress(OSError), connection.makefile("rb") as answers:
        while len(statuses) < number:
            line = answers.readline()
            if not line:
                break
            length = 0
            statuses.append(int(line.split()[1]))
            while (header := answers.readline().strip().lower()) != b"":
                if header.startswith(b"content-length:"):
                    length = int(header.partition(b":")[2])
            answers.read(length)
    return statuses


def ask(
    node: mesh_site.MeshProcess, body_sizes: Iterable[int]
) -> list[tuple[str, int]]:
    """Send requests at once over one connection; return ids and statuses."""
    sizes = list(body_sizes)
    ids = [f"request-{next(IDS)}" for _ in sizes]
    address = node.host, node.ports + mesh_site.OFFSETS["egress"]
    with socket.create_connection(address, ANSWER_TIMEOUT_S) as connection:
        with contextlib.suppress(OSError):
            for request, size in zip(ids, sizes, strict=True):
                connection.sendall(encode(request, size))
        return list(zip(ids, read_statuses(connection, len(ids)), strict=False))


def test_refusals_are_true_while_a_crowd_holds_the_memory(
    site: mesh_site.LocalMeshSite,
) -> None:
    node = site.nodes["ledger-1"]
    crowd = hostile_clients.Crowd(node)
    answered: list[tuple[str, int]] = []
    with contextlib.closing(crowd):
        for _ in range(ROUNDS):
            sender = threading.Thread(
                target=crowd.run,
                args=(
                    CLIENTS,
                    lambda: hostile_clients.send_chunks(MOST_OF_A_BODY, 65_536),
                ),
            )
            sender.start()
            answered += ask(node, [LARGE_BYTES])
            answered += ask(node, [SMALL_BYTES, LARGE_BYTES, SMALL_BYTES])
            answered += ask(node, [LARGE_BYTES, LARGE_BYTES])
            sender.join()
            answered += ask(node, [SMALL_BYTES] * 4)
            crowd.close()
        answered += ask(node, [SMALL_BYTES])
    runs = site.tell("runs")
    refused = [request for request, status in answered if status in PROMISES]
    assert [request for request in refused if request in runs] == []
    served = [request for request, status in answered if status == 200]
    assert [runs.get(request) for request in served] == [1] * len(served)
    assert answered[-1][1] == 200
