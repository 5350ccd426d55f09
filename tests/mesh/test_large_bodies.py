"""Guards against a legal body that a node cannot hold because it copies it."""

import contextlib
import pathlib

import pytest

from standins import mesh_site
from tests.mesh import hostile_clients

BODY_BYTES = 67_108_864


@pytest.mark.parametrize("memory_mb", [130, 200])
def test_one_body_of_the_largest_size_is_served(
    tmp_path: pathlib.Path, memory_mb: int
) -> None:
    with contextlib.ExitStack() as stack:
        site = mesh_site.LocalMeshSite(tmp_path, stack)
        site.extra_settings = f"[limits]\nmemory_mb = {memory_mb}\n"
        site.start()
        with site.nodes["ledger-1"].connect("egress") as connection:
            headers = {"Host": "a.example", "Jujubetiller-Request-Id": "large"}
            connection.request("POST", "/get/1", bytes(BODY_BYTES), headers)
            assert connection.getresponse().status == 200
        for node in site.nodes.values():
            assert hostile_clients.read_peak_mb(node) <= memory_mb
