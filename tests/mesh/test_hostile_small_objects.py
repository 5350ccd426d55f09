"""Guards against memory of many small objects that stays resident.

The memory of small objects is not available for bodies as long as one object is left in
each part of it. A crowd with bodies that follows could then exceed the limit.
"""

import contextlib
import pathlib
from collections.abc import Iterator

import attrs
import pytest

from standins import mesh_site
from tests.mesh import hostile_clients

MEMORY_MB = 112
MAX_BODY_BYTES = 25_165_824
MOST_OF_A_BODY = MAX_BODY_BYTES * 99 // 100
BODY_CLIENTS = 12
ROUNDS = 2
CLIENTS_AT_ONCE = 40
HEADERS = b"a: b\r\n" * 2_300
END = b"\r\n"
REQUEST = b"GET /get/1 HTTP/1.1\r\nHost: a.example\r\n" + b"a: b\r\n" * 10 + END


@attrs.frozen
class Form:
    """What the clients of a crowd send at once, and how many they are."""

    sent: bytes
    clients: int


FORMS = {
    "incomplete_heads": Form(hostile_clients.HEAD + HEADERS, 400),
    "heads_of_incomplete_bodies": Form(
        hostile_clients.HEAD + HEADERS + b"Content-Length: 9\r\n" + END, 400
    ),
    "complete_heads": Form(hostile_clients.HEAD + HEADERS + END, 400),
    "requests_sent_ahead": Form(REQUEST * 400, 200),
}


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[mesh_site.LocalMeshSite]:
    with hostile_clients.start_site(
        tmp_path, MAX_BODY_BYTES, memory_mb=MEMORY_MB
    ) as started:
        yield started


@pytest.mark.parametrize("name", FORMS)
def test_bodies_after_many_small_objects(
    site: mesh_site.LocalMeshSite, name: str
) -> None:
    form = FORMS[name]
    node = site.nodes["ledger-1"]
    for _ in range(ROUNDS):
        crowd = hostile_clients.Crowd(node)
        with contextlib.closing(crowd):
            for _ in range(form.clients // CLIENTS_AT_ONCE):
                crowd.run(CLIENTS_AT_ONCE, lambda: [form.sent])
        crowd = hostile_clients.Crowd(node)
        with contextlib.closing(crowd):
            crowd.run(
                BODY_CLIENTS,
                lambda: hostile_clients.send_chunks(MOST_OF_A_BODY, 65_536),
            )
            assert node.ask("/get/1", "after")[0] == 200
            for process in site.nodes.values():
                assert process.process.poll() is None
                assert hostile_clients.read_peak_mb(process) <= MEMORY_MB
