"""Runs real node processes with a store and targets.

Guards against faults that appear only when the components run together.
"""

import contextlib
import json
import pathlib
import signal
from collections.abc import Iterator

import pytest

from standins import mesh_site

MAX_QUESTIONS = 5_000
"""A question takes some milliseconds, and an instance is away for 3 s after a crash."""


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[mesh_site.LocalMeshSite]:
    with contextlib.ExitStack() as stack:
        started = mesh_site.LocalMeshSite(tmp_path, stack)
        started.start()
        yield started


def test_requests_of_every_node_run_once_and_unchanged(
    site: mesh_site.LocalMeshSite,
) -> None:
    for name, node in site.nodes.items():
        assert node.readiness() == 200
        for number in range(5):
            status, body = node.ask("/book/1?x=2", f"{name}-{number}", "POST")
            assert status == 200
            assert json.loads(body)["path"] == "/book/1?x=2"
    assert set(site.tell("runs").values()) == {1}


def test_a_killed_node_is_avoided_until_it_is_restarted(
    site: mesh_site.LocalMeshSite,
) -> None:
    node = site.nodes["ledger-1"]
    site.nodes["booth-1"].process.kill()
    site.nodes["booth-1"].process.wait(10)
    answers = [node.ask("/get/1", f"r{number}")[0] for number in range(10)]
    assert answers == [200] * 10
    again = site.start_node("booth-1")
    again.wait_for("state compared with peers")
    assert again.ask("/get/1", "after")[0] == 200


def test_a_configuration_changes_a_route_and_never_reverts(
    site: mesh_site.LocalMeshSite,
) -> None:
    node = site.nodes["ledger-1"]
    site.publish(2, "ledger")
    assert node.wait_for("configuration in force")["version"] == 2
    assert b"ledger-1" in node.ask("/book/1", "moved", "POST")[1]
    site.publish(1, "booth")
    site.tell("put", key="servers/mark", value={})
    node.wait_for(
        "instance rejected: [416 BAD_ITEM] servers/mark.state: "
        "allowed is a value of type str, got one of type NoneType"
    )
    assert b"ledger-1" in node.ask("/book/1", "still", "POST")[1]


def test_a_node_that_the_store_refuses_is_updated_by_peers(
    site: mesh_site.LocalMeshSite,
) -> None:
    """Guards against a restarted node without a configuration.

    That would break rules CONFIG and RECOVER of docs/platform.md.
    """
    site.tell("down", down=True)
    site.nodes["booth-1"].process.kill()
    site.nodes["booth-1"].process.wait(10)
    again = site.start_node("booth-1")
    assert again.wait_for("configuration in force")["version"] == 1
    again.wait_for("state compared with peers")
    assert again.ask("/get/1", "after")[0] == 200


def test_a_booking_with_a_lost_answer_is_not_retried(
    site: mesh_site.LocalMeshSite,
) -> None:
    for name in ("booth-1", "booth-2"):
        site.tell("fault", instance=name, fault="lost")
    assert site.nodes["ledger-1"].ask("/book/1", "lost", "POST")[0] == 504
    assert site.tell("runs")["lost"] == 1


def test_a_planned_stop_ends_in_order(site: mesh_site.LocalMeshSite) -> None:
    node = site.nodes["booth-1"]
    node.process.send_signal(signal.SIGTERM)
    node.wait_for("draining")
    assert node.readiness() == 503
    assert node.ask("/get/1", "during")[0] == 200
    node.wait_for("stopped")
    assert node.process.wait(10) == 0


def test_a_frozen_node_is_avoided_and_resumes_without_second_runs(
    site: mesh_site.LocalMeshSite,
) -> None:
    """Guards against a refused booking that a frozen node runs after it resumes."""
    frozen, node = site.nodes["booth-1"], site.nodes["ledger-1"]
    for number in range(4):
        node.ask("/get/1", f"warm-{number}")
    frozen.process.send_signal(signal.SIGSTOP)
    answers = {
        f"frozen-{number}": node.ask("/book/1", f"frozen-{number}", "POST")[0]
        for number in range(6)
    }
    frozen.process.send_signal(signal.SIGCONT)
    assert list(answers.values()).count(200) >= 4
    assert frozen.ask("/book/1", "awake", "POST")[0] == 200
    runs = site.tell("runs")
    assert all(runs.get(request, 0) <= 1 for request in answers)
    assert all(
        request not in runs for request, status in answers.items() if status == 503
    )


def test_an_instance_that_refuses_is_avoided(site: mesh_site.LocalMeshSite) -> None:
    site.tell("fault", instance="booth-1", fault="shed")
    node = site.nodes["ledger-1"]
    answers = [node.ask("/book/1", f"s{n}", "POST")[0] for n in range(10)]
    assert answers.count(200) >= 9


def test_changed_settings_are_applied_on_a_signal(
    site: mesh_site.LocalMeshSite,
) -> None:
    node = site.nodes["booth-1"]
    path = site.folder / "booth-1.toml"
    path.write_text(path.read_text().replace('grace = "6s"', 'grace = "5s"'))
    node.process.send_signal(signal.SIGHUP)
    assert node.wait_for("settings reloaded")["changed"] == ["grace_ms"]
    assert node.ask("/get/1", "after")[0] == 200


def wait_for_an_instance(node: mesh_site.MeshProcess) -> None:
    """Ask until an instance is up again: both are down after two crashes in 3 s.

    On a busy machine the crashes come that close, and any other refusal is an error.
    """
    status, body = node.ask("/get/1", "up-0")
    for number in range(1, MAX_QUESTIONS):
        if not body.startswith(b"206 "):
            break
        status, body = node.ask("/get/1", f"up-{number}")
    assert status == 200, body


def test_a_request_that_crashes_its_instance_is_refused_after_the_second_crash(
    site: mesh_site.LocalMeshSite,
) -> None:
    node = site.nodes["ledger-1"]
    site.tell("crash_on", paths=["/book/deadly"])
    answers = [node.ask("/book/deadly", "r0", "POST")]
    while not answers[-1][1].startswith(b"213 "):
        answers.append(node.ask("/book/deadly", f"r{len(answers)}", "POST"))
        assert len(answers) < 50
    unknown = [status for status, _ in answers if status == 502]
    assert len(unknown) == len(site.tell("crashes")) == 2
    for name in ("booth-1", "booth-2"):
        site.nodes[name].wait_for("request blamed for crashes")
    wait_for_an_instance(node)
    for number in range(5):
        assert node.ask("/book/deadly", f"after-{number}", "POST")[0] == 503
        assert node.ask("/get/1", f"proper-{number}")[0] == 200
    assert len(site.tell("crashes")) == 2
