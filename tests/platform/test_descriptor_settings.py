"""Guards against a limit on descriptors that is not read, or not checked."""

import pytest

from jujubetiller import edge, platform
from standins.mesh_site import documents
from tests.mesh import local_mesh


def write_settings(max_fds: str) -> bytes:
    return f"{documents.SETTINGS}\n[limits]\nmax_fds = {max_fds}\n".encode()


@pytest.mark.parametrize("max_fds", ["300", "4100", "1000000"])
def test_the_limit_is_read(max_fds: str) -> None:
    loaded = platform.load_settings(write_settings(max_fds)).unwrap()
    assert loaded.connections.max_descriptors == int(max_fds)
    assert loaded.streams.max_streams == loaded.connections.count_streams()


@pytest.mark.parametrize("max_fds", ["299", "1000001", "true", '"4100"', "-1"])
def test_a_wrong_limit_is_reported_with_its_name(max_fds: str) -> None:
    problem = platform.load_settings(write_settings(max_fds)).unwrap_err()
    assert "max_fds" in str(problem)


def test_a_changed_limit_is_applied_to_the_listeners() -> None:
    mesh = local_mesh.LocalMesh()
    edges = mesh.node.listeners.edges
    for name in ("egress", "readiness", "metrics"):
        edges[name] = edge.PipelinedFactory(
            mesh.reactor, mesh.clock, mesh.site, max_body_bytes=1, max_connections=1
        )
    mesh.node.reload(platform.load_settings(write_settings("600")).unwrap())
    limits = {name: factory.max_connections for name, factory in edges.items()}
    assert limits == {"egress": 200, "readiness": 6, "metrics": 6}
