"""Guards against features that work without being asked for, or don't when they are."""

import attrs

from jujubetiller import limits, mesh, routing, settings
from tests.mesh import local_mesh, test_ingress


def test_a_node_without_features_reports_no_room_and_uses_all_slots() -> None:
    node = local_mesh.LocalMesh()
    node.receive_call()
    node.target.requests[-1].answer(200, test_ingress.STAMP)
    assert node.answers[0].room is None
    assert type(node.parts.router) is routing.LatencyWeightedRouter
    assert not isinstance(node.parts.guard.policy, limits.LearnedLimitPolicy)
    assert b"jujubetiller_placing" not in node.parts.metrics.render()


def test_a_node_that_places_by_room_reports_it_and_reads_it() -> None:
    features = settings.FeatureSettings(placing="room", target_limit="learned")
    node = local_mesh.LocalMesh(features)
    node.receive_call()
    node.target.requests[-1].answer(200, test_ingress.STAMP)
    assert node.answers[0].room == node.parts.guard.limit
    assert node.answers[0].wait_ms == 0
    assert isinstance(node.parts.guard.policy, limits.LearnedLimitPolicy)
    own_slots = node.parts.directory.own
    assert own_slots is not None
    assert node.parts.guard.slots == max(1, int(own_slots.slots * mesh_share()))
    node.send_request()
    instance = node.parts.router.pools["booth"].stats
    assert sum(stats.load.sent_since for stats in instance.values()) == 1
    reply = attrs.evolve(node.answers[0], room=3, wait_ms=0.0)
    node.pool.calls[-1].reply(reply)
    assert {stats.load.room for stats in instance.values()} == {0, 3}
    assert all(stats.instance.slots > 0 for stats in instance.values())
    rendered = node.parts.metrics.render()
    assert b"jujubetiller_placing" in rendered
    assert b"jujubetiller_target_limit" in rendered


def mesh_share() -> float:
    """Return the part of the declared slots that a node uses."""
    return mesh._mesh_node.USED_SLOTS_SHARE
