"""Guards against crowds of clients that follow each other, or mix what they send.

A node that stays within its memory during one crowd may exceed it in a later one, as
memory that was freed can stay resident. The bodies are of legal size and large beside
the memory that is left for clients.
"""

import contextlib
import itertools
import pathlib
from collections.abc import Callable, Iterable, Iterator

import attrs
import pytest

from standins import mesh_site
from tests.mesh import hostile_clients

MEMORY_MB = 112
MAX_BODY_BYTES = 25_165_824
MOST_OF_A_BODY = MAX_BODY_BYTES * 99 // 100
MAX_DESCRIPTORS = 120
CLIENTS = 12
HEAD_CLIENTS = 80
CLIENTS_OF_EACH_FORM = 3
ROUNDS = 3
TINY_CHUNKS_BYTES = 150_000
OPEN_HEAD_BYTES = 14_000
HEADER = b"a: b\r\n"


@attrs.frozen
class Form:
    """What the clients of a crowd send, and how many they are."""

    make_parts: Callable[[], Iterable[bytes]]
    clients: int = CLIENTS


FORMS = {
    "chunks_as_large_as_a_read": Form(
        lambda: hostile_clients.send_chunks(MOST_OF_A_BODY, 65_536)
    ),
    "chunks_larger_than_a_read": Form(
        lambda: hostile_clients.send_chunks(MOST_OF_A_BODY, 1_000_000)
    ),
    "chunks_smaller_than_a_read": Form(
        lambda: hostile_clients.send_chunks(MOST_OF_A_BODY, 1_000)
    ),
    "chunks_of_one_byte": Form(
        lambda: hostile_clients.send_chunks(TINY_CHUNKS_BYTES, 1)
    ),
    "one_chunk": Form(
        lambda: hostile_clients.send_one_chunk(MAX_BODY_BYTES, MOST_OF_A_BODY)
    ),
    "with_a_length": Form(
        lambda: hostile_clients.send_body(MAX_BODY_BYTES, MOST_OF_A_BODY, 60_000)
    ),
    "one_header_without_end": Form(
        lambda: [hostile_clients.HEAD + b"a: " + b"b" * OPEN_HEAD_BYTES], HEAD_CLIENTS
    ),
    "many_headers_without_end": Form(
        lambda: [hostile_clients.HEAD + HEADER * (OPEN_HEAD_BYTES // len(HEADER))],
        HEAD_CLIENTS,
    ),
}


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[mesh_site.LocalMeshSite]:
    with hostile_clients.start_site(
        tmp_path, MAX_BODY_BYTES, memory_mb=MEMORY_MB
    ) as started:
        yield started


def check_site(site: mesh_site.LocalMeshSite) -> None:
    """Check all nodes, while the connections of the latest crowd are open."""
    node = site.nodes["ledger-1"]
    assert node.process.poll() is None
    assert hostile_clients.count_descriptors(node) <= MAX_DESCRIPTORS
    assert node.ask("/get/1", "after")[0] == 200
    for process in site.nodes.values():
        assert process.process.poll() is None
        assert hostile_clients.read_peak_mb(process) <= MEMORY_MB


@pytest.mark.parametrize("form", FORMS)
def test_crowds_of_one_form_in_a_row(site: mesh_site.LocalMeshSite, form: str) -> None:
    for _ in range(ROUNDS):
        crowd = hostile_clients.Crowd(site.nodes["ledger-1"])
        with contextlib.closing(crowd):
            crowd.run(FORMS[form].clients, FORMS[form].make_parts)
            check_site(site)


def test_crowds_of_all_forms_one_after_the_other(site: mesh_site.LocalMeshSite) -> None:
    for form in FORMS.values():
        crowd = hostile_clients.Crowd(site.nodes["ledger-1"])
        with contextlib.closing(crowd):
            crowd.run(form.clients, form.make_parts)
            check_site(site)


def test_crowds_of_all_forms_at_once(site: mesh_site.LocalMeshSite) -> None:
    forms = itertools.cycle(FORMS.values())
    crowd = hostile_clients.Crowd(site.nodes["ledger-1"])
    with contextlib.closing(crowd):
        for _ in range(ROUNDS):
            crowd.run(
                CLIENTS_OF_EACH_FORM * len(FORMS), lambda: next(forms).make_parts()
            )
            check_site(site)
