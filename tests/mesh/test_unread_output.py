"""Guards against a node that waits until somebody reads its standard output."""

import contextlib
import pathlib
from collections.abc import Iterator

import pytest

from standins import mesh_site
from tests.mesh import hostile_clients

LOG_BYTES = 4_096
"""A few lines."""

REQUESTS = 60
CLIENTS = 40
MAX_QUESTIONS = 20_000
"""More than a node answers in the time that any wait here may take."""


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[mesh_site.LocalMeshSite]:
    with contextlib.ExitStack() as stack:
        started = mesh_site.LocalMeshSite(tmp_path, stack)
        started.log_bytes = LOG_BYTES
        started.start()
        yield started


def set_fault(site: mesh_site.LocalMeshSite, fault: str) -> None:
    """Set the injected fault of the instances that run the requests."""
    for instance in ("booth-1", "booth-2"):
        site.tell("fault", instance=instance, fault=fault)


def test_refusals_while_nobody_reads_the_output(
    site: mesh_site.LocalMeshSite,
) -> None:
    node = site.nodes["ledger-1"]
    crowd = hostile_clients.Crowd(node)
    with contextlib.closing(crowd):
        set_fault(site, "shed")
        for number in range(REQUESTS):
            assert node.ask("/get/1", f"refused-{number}")[0] == 503
        crowd.run(CLIENTS, lambda: [hostile_clients.HEAD + b"a b\r\n\r\n"])
        set_fault(site, "none")
        statuses = (
            node.ask("/get/1", f"after-{number}")[0] for number in range(MAX_QUESTIONS)
        )
        assert 200 in statuses
        assert node.process.poll() is None
