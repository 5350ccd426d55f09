"""The processes of a soak and the links between them."""

import json
import os
import pathlib
import signal
import subprocess
import sys
from typing import IO, Any

import attrs

from soak import _link
from standins import site as standin_site
from standins.mesh_site import documents

SERVICES = ("booth", "ledger")
PER_SERVICE = 2
"""Instances of each service, unless the run is told otherwise."""

FIRST_VERSION = 1
GRACE_S = 6.0

_OFFSETS = {"instance": 1, "readiness": 2, "egress": 4, "peer": 5, "last": 9}
_STORE_OFFSET = 10
"""Each host has its own ports; multiples of ten keep the offsets of two runs apart."""


@attrs.define(eq=False)
class Node:
    """A node, the addresses of its instance and its links."""

    name: str
    inner: str
    """The address at which the node and its target listen."""

    outer: str
    """The published address, at which the links listen."""

    links: dict[str, _link.Link] = attrs.field(factory=dict)
    process: subprocess.Popen[bytes] | None = None
    lifetime: int = 0
    log: IO[bytes] | None = None

    @property
    def service(self) -> str:
        """The service of the instance."""
        return self.name.partition("-")[0]


class SoakSite:
    """Starts and stops nodes, and writes the store as operators and instances do."""

    def __init__(
        self,
        reactor: Any,
        folder: pathlib.Path,
        base: int,
        per_service: int = PER_SERVICE,
    ) -> None:
        self.reactor = reactor
        self.folder = folder
        self.base = base
        self.version = FIRST_VERSION
        self.born_ms = 1_700_000_000_000
        self.ports: list[Any] = []
        self.crashing: tuple[str, str] | None = None
        """Route and name of a request that crashes the instances which run it."""

        self.nodes = {
            name: Node(name, f"127.0.5.{number}", f"127.0.6.{number}")
            for number, name in enumerate(make_names(per_service), 1)
        }
        instances = [
            {"name": node.name, "service": node.service, "host": node.inner}
            for node in self.nodes.values()
        ]
        arguments = {"instances": instances, "app_port": self.port("instance")}
        self.stand_ins = standin_site.Child(
            "standins.mesh_site", [json.dumps(arguments)]
        )
        self.stand_in_ports = self.stand_ins.read_hello()

    def port(self, listener: str) -> int:
        """Return the port of a listener, the same on all hosts."""
        return self.base + _OFFSETS[listener]

    def open_links(self) -> None:
        """Start a proxy between any two processes."""
        store = ("127.0.0.1", int(self.stand_in_ports["store"]))
        for node in self.nodes.values():
            for name, there, port in (
                ("target", (node.inner, self.port("instance")), self.port("instance")),
                ("peer", (node.inner, self.port("peer")), self.port("peer")),
                ("store", store, self.base + _STORE_OFFSET),
            ):
                link = node.links[name] = _link.Link(self.reactor, *there)
                self.ports.append(link.listen(node.outer, port))

    def run_command(self, command: str, **document: Any) -> Any:
        """Run a command at the stand-ins and return the answer."""
        url = f"http://127.0.0.1:{self.stand_in_ports['operator']}/{command}"
        return standin_site.request_json("POST", url, document)

    def publish(self, version: int) -> None:
        """Publish a configuration, which has one more route with each version."""
        self.version = version
        template = documents.CONFIGURATION["listeners"][0]["rules"][1]
        rules = [
            _make_rule(template, "book", "booth", "non_idempotent"),
            _make_rule(template, "log", "ledger", "non_idempotent"),
            _make_rule(template, "get", "booth", "idempotent"),
            *(
                _make_rule(template, f"v{number}", "ledger", "idempotent")
                for number in range(FIRST_VERSION, version + 1)
            ),
        ]
        configuration = {
            **documents.CONFIGURATION,
            "version": f"{version:08x}",
            "listeners": [{"host": "a.example", "rules": rules}],
        }
        self.run_command("put", key="op/config", value=configuration)

    def list_instance(self, node: Node, state: str = "ready") -> None:
        """Write the entry of an instance; a ready one counts as newly started."""
        self.born_ms += state == "ready"
        entry = {
            **documents.INSTANCE,
            "service": node.service,
            "address": f"{node.outer}:{self.port('instance')}",
            "warmup_left": "0ms",
            "state": state,
            "born": self.born_ms,
        }
        self.run_command("put", key=f"servers/{node.name}", value=entry)

    def write_settings(self, node: Node, comment: str = "") -> pathlib.Path:
        """Write the settings file of a node."""
        instance = f"{node.outer}:{self.port('instance')}"
        store = f"{node.outer}:{self.base + _STORE_OFFSET}"
        text = (
            documents.SETTINGS.replace("127.0.0.1:8301", instance)
            .replace("127.0.0.9:8309", store)
            .replace("127.0.0.1", node.inner)
            .replace('"ledger"', f'"{node.service}"')
            .replace("sidecar-a-1", node.name)
            .replace("[7620, 7635]", f"[{self.port('peer')}, {self.port('last')}]")
            .replace(":8304", f":{self.port('egress')}")
            .replace(":8302", f":{self.port('readiness')}")
        )
        path = self.folder / f"{node.name}.toml"
        path.write_text(f"{text}# {comment}\n")
        return path

    def start_node(self, node: Node) -> None:
        """Start the process of a node; its log goes to the folder."""
        path = self.write_settings(node)
        node.lifetime += 1
        if node.log is None:
            node.log = (self.folder / f"{node.name}.log").open("ab")
        environment = {
            **os.environ,
            "JUJUBETILLER_CONFIG": str(path),
            "PYTHONPATH": os.pathsep.join(sys.path) or ".",
        }
        node.process = subprocess.Popen(
            [sys.executable, "-m", "jujubetiller", "mesh"],
            stdout=node.log,
            stderr=node.log,
            env=environment,
        )

    def close(self) -> None:
        """End all processes that this site started."""
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
            if node.log is not None:
                node.log.close()
        self.stand_ins.close()


def make_names(per_service: int) -> list[str]:
    """Return the names of the instances."""
    return [
        f"{service}-{number}"
        for service in SERVICES
        for number in range(1, per_service + 1)
    ]


def _make_rule(
    template: dict[str, Any], name: str, service: str, kind: str
) -> dict[str, Any]:
    return {
        **template,
        "name": name,
        "kind": kind,
        "match": {"prefix": f"/{name}/"},
        "action": {"service": service, "timeout": "2000ms", "max_attempts": 2},
    }
