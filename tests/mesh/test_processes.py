"""Guards against a path that works only in parts: real nodes, store and instances."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import attrs
import pytest

from tests.platform import documents
from tests.standins import running

HOSTS = {"booth-1": "127.0.3.1", "booth-2": "127.0.3.2", "ledger-1": "127.0.3.3"}
READY_LINES = 4
"""A node tells of the configuration and of each instance."""


def find_port_base() -> int:
    """Return the first of five ports that are free on all addresses."""
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(("127.0.3.1", 0))
        return int(probe.getsockname()[1]) % 20_000 + 20_000


@attrs.define
class Node:
    """A node's process."""

    host: str
    ports: int
    process: subprocess.Popen[str]

    def wait_for(self, message: str) -> dict[str, Any]:
        """Read log lines up to the one with ``message``."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            document: dict[str, Any] = json.loads(line)
            if document["message"] == message:
                return document
        raise AssertionError(f"the node ended before {message!r}")

    def ask(self, path: str, request: str, method: str = "GET") -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(self.host, self.ports + 4, timeout=10)
        with contextlib.closing(connection):
            headers = {
                "Host": "a.example",
                "Jujubetiller-Request-Id": request,
                "Jujubetiller-Deadline-Ms": "4000",
            }
            connection.request(method, path, headers=headers)
            answer = connection.getresponse()
            return answer.status, answer.read()

    def readiness(self) -> int:
        connection = http.client.HTTPConnection(self.host, self.ports + 2, timeout=10)
        with contextlib.closing(connection):
            connection.request("GET", "/readiness")
            return connection.getresponse().status


class Site:
    """The stand-ins and the nodes beside their instances."""

    def __init__(self, folder: pathlib.Path, stack: contextlib.ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.base = find_port_base()
        instances = [
            {"name": name, "service": name.partition("-")[0], "host": host}
            for name, host in HOSTS.items()
        ]
        arguments = {"instances": instances, "app_port": self.base + 1}
        self.ports = stack.enter_context(running.start("standins.mesh_site", arguments))
        self.nodes: dict[str, Node] = {}

    def tell(self, command: str, **document: Any) -> Any:
        status, body = running.call(
            self.ports["operator"], "POST", f"/{command}", document
        )
        assert status == 200
        return body

    def publish(self, version: int, service: str = "booth") -> None:
        rule = documents.CONFIGURATION["listeners"][0]["rules"][1]
        action = {"service": service, "timeout": "3000ms", "max_attempts": 2}
        read = {
            **rule,
            "name": "get",
            "kind": "idempotent",
            "match": {"prefix": "/get/"},
        }
        rules = [{**rule, "action": action}, {**read, "action": action}]
        configuration = {
            **documents.CONFIGURATION,
            "version": f"{version:08x}",
            "listeners": [{"host": "a.example", "rules": rules}],
        }
        self.tell("put", key="op/config", value=configuration)
        for name, host in HOSTS.items():
            entry = {
                **documents.INSTANCE,
                "service": name.partition("-")[0],
                "address": f"{host}:{self.base + 1}",
            }
            self.tell("put", key=f"servers/{name}", value=entry)

    def start_node(self, name: str) -> Node:
        host = HOSTS[name]
        text = (
            documents.SETTINGS.replace("127.0.0.1", host)
            .replace('"ledger"', f'"{name.partition("-")[0]}"')
            .replace("[7620, 7635]", f"[{self.base + 5}, {self.base + 9}]")
            .replace(":8301", f":{self.base + 1}")
            .replace(":8304", f":{self.base + 4}")
            .replace(":8302", f":{self.base + 2}")
            .replace("127.0.0.9:8309", f"127.0.0.1:{self.ports['store']}")
        )
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        process = subprocess.Popen(
            [sys.executable, "-m", "jujubetiller", "mesh"],
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "JUJUBETILLER_CONFIG": str(path)},
        )
        self.stack.callback(end, process)
        self.nodes[name] = Node(host, self.base, process)
        return self.nodes[name]


def end(process: subprocess.Popen[str]) -> None:
    """End a node that a test left behind."""
    process.kill()
    process.wait(10)
    assert process.stdout is not None
    process.stdout.close()


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[Site]:
    with contextlib.ExitStack() as stack:
        started = Site(tmp_path, stack)
        started.publish(1)
        for name in HOSTS:
            started.start_node(name)
        for node in started.nodes.values():
            node.wait_for("store answers")
        yield started


def test_requests_of_every_node_run_once_and_whole(site: Site) -> None:
    for name, node in site.nodes.items():
        assert node.readiness() == 200
        for number in range(5):
            status, body = node.ask("/book/1?x=2", f"{name}-{number}", "POST")
            assert status == 200
            assert json.loads(body)["path"] == "/book/1?x=2"
    assert set(site.tell("runs").values()) == {1}


def test_a_killed_node_is_avoided_and_comes_back(site: Site) -> None:
    node = site.nodes["ledger-1"]
    site.nodes["booth-1"].process.kill()
    site.nodes["booth-1"].process.wait(10)
    answers = [node.ask("/get/1", f"r{number}")[0] for number in range(10)]
    assert answers == [200] * 10
    again = site.start_node("booth-1")
    again.wait_for("store answers")
    assert again.ask("/get/1", "after")[0] == 200


def test_a_configuration_moves_a_route_and_never_back(site: Site) -> None:
    node = site.nodes["ledger-1"]
    site.publish(2, "ledger")
    assert node.wait_for("configuration in force")["version"] == 2
    assert b"ledger-1" in node.ask("/book/1", "moved", "POST")[1]
    site.publish(1, "booth")
    site.tell("put", key="servers/mark", value={})
    node.wait_for(
        "instance rejected: [416 BAD_ITEM] servers/mark.state: "
        "allowed is a value of type str, got None"
    )
    assert b"ledger-1" in node.ask("/book/1", "still", "POST")[1]


def test_a_node_that_the_store_turns_away_learns_from_peers(site: Site) -> None:
    """Guards against a restarted node without a configuration (CONFIG, RECOVER)."""
    site.tell("down", down=True)
    site.nodes["booth-1"].process.kill()
    site.nodes["booth-1"].process.wait(10)
    again = site.start_node("booth-1")
    assert again.wait_for("configuration in force")["version"] == 1
    again.wait_for("instance listed")
    assert again.ask("/get/1", "after")[0] == 200


def test_a_lost_answer_of_a_booking_is_not_repeated(site: Site) -> None:
    for name in ("booth-1", "booth-2"):
        site.tell("fault", instance=name, fault="lost")
    assert site.nodes["ledger-1"].ask("/book/1", "lost", "POST")[0] == 504
    assert site.tell("runs")["lost"] == 1


def test_a_planned_stop_ends_in_order(site: Site) -> None:
    node = site.nodes["booth-1"]
    node.process.send_signal(signal.SIGTERM)
    node.wait_for("draining")
    assert node.readiness() == 503
    assert node.ask("/get/1", "during")[0] == 200
    node.wait_for("stopped")
    assert node.process.wait(10) == 0


def test_a_frozen_node_is_left_and_wakes_without_harm(site: Site) -> None:
    """Guards against a booking that a node runs when it wakes after it was refused."""
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


def test_an_instance_that_refuses_is_avoided(site: Site) -> None:
    site.tell("fault", instance="booth-1", fault="shed")
    node = site.nodes["ledger-1"]
    answers = [node.ask("/book/1", f"s{n}", "POST")[0] for n in range(10)]
    assert answers.count(200) >= 9


def test_settings_that_change_are_followed_on_a_signal(site: Site) -> None:
    node = site.nodes["booth-1"]
    path = site.folder / "booth-1.toml"
    path.write_text(path.read_text().replace('grace = "6s"', 'grace = "5s"'))
    node.process.send_signal(signal.SIGHUP)
    assert node.wait_for("settings reloaded")["changed"] == ["grace_ms"]
    assert node.ask("/get/1", "after")[0] == 200
