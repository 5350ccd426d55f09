"""Guards against reverted configurations, removed instances in use and stale state."""

import contextlib

import attrs

from jujubetiller import edge, published, settings
from jujubetiller.mesh import _state_message
from standins.mesh_site import documents
from tests.mesh import local_mesh

OLD = documents.encode(documents.CONFIGURATION, version="0000000b", listeners=[])
NEW = documents.encode(documents.CONFIGURATION, version="0000000d", listeners=[])


def routable_names(node: local_mesh.LocalMesh) -> set[str]:
    """Return the instances that may get calls."""
    pools = node.parts.router.pools.values()
    return {
        stats.instance.instance
        for pool in pools
        for stats in (*pool.own_zone_stats, *pool.other_zone_stats)
    }


def test_an_older_version_is_never_applied_again() -> None:
    node = local_mesh.LocalMesh()
    node.publish("op/config", OLD)
    assert node.parts.configuration.version == 12
    node.publish("op/config", NEW)
    assert node.parts.configuration.version == 13


def test_a_bad_configuration_leaves_the_last_good_one() -> None:
    node = local_mesh.LocalMesh()
    node.publish("op/config", b"{")
    node.publish("op/config", None)
    assert node.parts.configuration.version == 12
    assert node.parts.configuration.rejected == 1


def test_a_draining_instance_gets_no_more_calls() -> None:
    node = local_mesh.LocalMesh()
    node.list_instance(local_mesh.FIRST, state="draining")
    assert local_mesh.FIRST not in routable_names(node)


def test_a_removal_is_applied_at_once_while_the_store_is_stable() -> None:
    node = local_mesh.LocalMesh()
    node.remove_instance(local_mesh.FIRST)
    assert local_mesh.FIRST not in routable_names(node)


def test_a_removal_is_held_back_right_after_an_outage_of_the_store() -> None:
    """Guards against an empty fleet after an outage during which entries expired."""
    node = local_mesh.LocalMesh()
    node.source.recovered = node.clock.now_ms()
    node.remove_instance(local_mesh.FIRST)
    node.remove_instance(local_mesh.SECOND)
    assert local_mesh.FIRST in routable_names(node)
    node.list_instance(local_mesh.FIRST)
    node.reactor.advance(2.6)
    node.parts.directory.apply_removals()
    assert local_mesh.FIRST in routable_names(node)
    assert local_mesh.SECOND not in routable_names(node)


def test_a_peer_with_a_stable_store_confirms_a_removal() -> None:
    """Guards against calls to an instance whose removal only peers could read."""
    node = local_mesh.LocalMesh()
    node.source.age = 60_000.0
    node.remove_instance(local_mesh.FIRST)
    assert local_mesh.FIRST in routable_names(node)
    node.confirm_removals()
    node.parts.directory.apply_removals()
    assert local_mesh.FIRST not in routable_names(node)


def test_a_confirmation_of_an_older_history_applies_no_removal() -> None:
    """Guards against living instances that a restored store does not list yet."""
    node = local_mesh.LocalMesh()
    node.source.age = 60_000.0
    node.confirm_removals()
    state = node.node.state
    revision = published.Revision(state.revision.epoch + 1, 3)
    config = attrs.evolve(state.items["op/config"], revision=revision)
    state.apply(published.Changes(revision, (config,), True))
    node.parts.directory.apply_removals()
    assert local_mesh.FIRST in routable_names(node)
    node.confirm_removals()
    node.parts.directory.apply_removals()
    assert local_mesh.FIRST not in routable_names(node)


def test_the_last_instance_at_an_address_gets_the_calls() -> None:
    """Guards against calls to a stopped instance whose address is in use again."""
    node = local_mesh.LocalMesh()
    born = documents.INSTANCE["born"] + 1
    node.list_instance(
        "swatch-9", service="swatch", address="127.0.0.2:8301", born=born
    )
    assert local_mesh.FIRST not in routable_names(node)
    assert "swatch-9" in routable_names(node)


def test_an_entry_of_another_writer_names_no_instance() -> None:
    node = local_mesh.LocalMesh()
    node.publish("servers/other", b'{"service": 5}')
    assert "other" not in routable_names(node)
    assert node.parts.directory.rejected == 1


def test_an_entry_of_an_unknown_service_replaces_no_instance() -> None:
    """Guards against a forged entry that replaces the instance at its address."""
    node = local_mesh.LocalMesh()
    born = documents.INSTANCE["born"] + 5
    node.list_instance("forged", service="other", address="127.0.0.2:8301", born=born)
    assert local_mesh.FIRST in routable_names(node)
    assert "forged" not in routable_names(node)
    clusters = [{"name": "booth"}, {"name": "ledger"}, {"name": "other"}]
    node.publish(
        "op/config",
        documents.encode(documents.CONFIGURATION, version="0e", clusters=clusters),
    )
    assert "forged" in routable_names(node)


def test_a_late_report_of_an_earlier_process_is_ignored() -> None:
    """Guards against a restarted instance that an old report marks as draining."""
    node = local_mesh.LocalMesh()
    born = documents.INSTANCE["born"]
    node.list_instance(local_mesh.FIRST, born=born + 10, sequence=1)
    node.list_instance(local_mesh.FIRST, born=born, sequence=90, state="draining")
    assert local_mesh.FIRST in routable_names(node)
    node.list_instance(local_mesh.FIRST, born=born + 10, sequence=2, state="draining")
    assert local_mesh.FIRST not in routable_names(node)


def test_a_late_report_does_not_bring_a_removed_instance_back() -> None:
    node = local_mesh.LocalMesh()
    node.list_instance(local_mesh.FIRST, sequence=9, state="draining")
    node.remove_instance(local_mesh.FIRST)
    node.list_instance(local_mesh.FIRST, sequence=8)
    assert local_mesh.FIRST not in routable_names(node)
    node.list_instance(local_mesh.FIRST, sequence=10)
    assert local_mesh.FIRST in routable_names(node)


def test_clients_are_bound_by_the_configuration() -> None:
    node = local_mesh.LocalMesh()
    factory = edge.PipelinedFactory(node.reactor, node.clock, node.site, 1, 1)
    node.node.listeners.edges["egress"] = factory
    limits = {
        "max_header_bytes": 100_000,
        "max_body_bytes": 1_000,
        "idle_timeout": "90s",
    }
    document = documents.encode(documents.CONFIGURATION, version="0e", limits=limits)
    node.publish("op/config", document)
    node.list_instance(local_mesh.FIRST, sequence=7)
    assert factory.max_head_bytes == 100_000
    assert factory.max_body_bytes == 1_000
    assert factory.idle_ms == 90_000


def test_the_slots_of_the_own_instance_bound_the_guard() -> None:
    node = local_mesh.LocalMesh()
    before = node.parts.guard.limit
    node.list_instance(local_mesh.OWN, capacity=10)
    assert node.parts.guard.limit < before


def test_nodes_bring_each_other_up_to_date() -> None:
    """Guards against a restarted node without state while the store refuses it."""
    known, restarted = local_mesh.LocalMesh(), local_mesh.LocalMesh()
    restarted.node.state.items.clear()
    restarted.node.state.revision = published.Revision()
    restarted.parts.directory.listed.clear()
    restarted.parts.configuration.current = None
    restarted.source.age = -1.0
    assert not restarted.parts.is_ready()
    known.node.exchange.request_changes(
        settings.Address("127.0.0.2", local_mesh.PEER_PORT)
    )
    state_request = known.pool.calls[-1].request
    body = attrs.evolve(
        _state_message.decode_request(state_request.body).unwrap(),
        sender=settings.Address("127.0.0.9", local_mesh.PEER_PORT),
    ).encode()
    restarted.peers.handle_call(
        attrs.evolve(state_request, body=body), restarted.answers.append
    )
    restarted.reactor.advance(0.01)
    back = restarted.pool.calls[-1]
    assert back.address == settings.Address("127.0.0.9", local_mesh.PEER_PORT)
    known.peers.handle_call(back.request, back.reply)
    assert restarted.parts.is_ready()
    assert restarted.node.state.items == known.node.state.items


def test_malformed_state_messages_are_rejected() -> None:
    for body in (b"", b"\xc1", b"\x91\x01", b"\xa3abc"):
        assert _state_message.decode_request(body).is_err()
        assert _state_message.decode_answer(body).is_err()
    revision = published.Revision(2, 7)
    changes = published.Changes(revision, (local_mesh.Item("a", revision, None),), True)
    answer = _state_message.StateAnswer(changes, revision)
    assert _state_message.decode_answer(answer.encode()).unwrap() == answer


def test_an_unexpected_error_does_not_end_the_periodic_tasks() -> None:
    """Guards against removals that are never applied after one error."""
    node = local_mesh.LocalMesh()
    runs = 0

    def fail() -> None:
        nonlocal runs
        runs += 1
        raise RuntimeError("an unexpected error")

    node.parts.directory.apply_removals = fail  # type: ignore[method-assign]
    with contextlib.suppress(RuntimeError):
        node.node.run_housekeeping()
    for _ in range(2):
        with contextlib.suppress(RuntimeError):
            node.reactor.advance(1.0)
    assert runs == 3
