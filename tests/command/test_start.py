"""Guards against a node that starts slowly because it imports what it does not use."""

import subprocess
import sys

import pytest

LIST_MODULES = """
import sys
import jujubetiller.command._mesh
import jujubetiller.mesh
import jujubetiller.platform
print("\\n".join(sys.modules))
"""


@pytest.fixture(scope="module")
def imported() -> set[str]:
    """Return the modules that a node on the users' platform imports at its start."""
    listed = subprocess.run(
        (sys.executable, "-c", LIST_MODULES), check=True, capture_output=True, text=True
    )
    return set(listed.stdout.split())


@pytest.mark.parametrize(
    "name",
    [
        "cattrs",
        "defopt",
        "docutils",
        "http.server",
        "jujubetiller.admin",
        "jujubetiller.control",
        "jujubetiller.keys",
        "jujubetiller.node",
        "jujubetiller.platform_client",
        "jujubetiller.tickets",
        "prometheus_client",
        "twisted.web.resource",
        "twisted.web.server",
        "wsgiref",
    ],
)
def test_a_node_does_not_import(name: str, imported: set[str]) -> None:
    assert "jujubetiller.mesh" in imported
    assert name not in imported
