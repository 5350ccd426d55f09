"""Guards against admission by cost without teams, and against none with them."""

import pytest

from jujubetiller import admission, settings
from standins.mesh_site import documents
from tests.mesh import local_mesh, test_ingress

TEAM = {"name": "kitchen", "api_keys": ["key"], "priority": 0}


def publish_teams(node: local_mesh.LocalMesh, version: int = 13) -> None:
    value = documents.encode(
        documents.CONFIGURATION, version=f"{version:08x}", tenants=[TEAM]
    )
    node.publish("op/config", value)


@pytest.mark.parametrize(
    ("chosen", "before", "after"),
    [("delay", False, False), ("cost", True, True), ("teams", False, True)],
)
def test_teams_begin_admission_by_cost_where_settings_say_so(
    chosen: str, before: bool, after: bool
) -> None:
    node = local_mesh.LocalMesh(settings.FeatureSettings(admission=chosen))
    assert isinstance(node.parts.admission, admission.NodeAdmission) == before
    publish_teams(node)
    assert isinstance(node.parts.admission, admission.NodeAdmission) == after
    has_group = b"jujubetiller_admission" in node.parts.metrics.render()
    assert has_group == after


def test_it_begins_when_no_call_is_at_the_target() -> None:
    """Calls that began before would be missing from its counts."""
    node = local_mesh.LocalMesh(settings.FeatureSettings(admission="teams"))
    node.receive_call()
    publish_teams(node)
    assert node.parts.admission is None
    node.target.requests[-1].answer(200, test_ingress.STAMP)
    node.node.run_housekeeping()
    assert node.parts.admission is not None
