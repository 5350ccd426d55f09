"""A site with the users' platform as processes on loopback."""

import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
from typing import Any

from standins import site
from standins.mesh_site import _mesh_process, documents

HOSTS = {"booth-1": "127.0.3.1", "booth-2": "127.0.3.2", "ledger-1": "127.0.3.3"}
"""The loopback address of each instance."""


LOG_BYTES = 1_048_576
"""More than a node logs in a test."""


def find_port_base() -> int:
    """Return a port; the ports after it are probably free on all addresses."""
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(("127.0.3.1", 0))
        return int(probe.getsockname()[1]) % 20_000 + 20_000


class LocalMeshSite:
    """Runs the stand-in store and instances, and a node for each instance."""

    def __init__(self, folder: pathlib.Path, stack: contextlib.ExitStack) -> None:
        self.folder, self.stack = folder, stack
        self.extra_settings = ""
        """Lines that are appended to the settings of each node."""

        self.bounds = '\n[bounds]\ngrace = "6s"\n'
        """The table of bounds in the settings of each node."""

        self.request_limits: dict[str, Any] = {}
        """Limits of the configuration that differ from the sample document's."""

        self.teams: list[dict[str, Any]] = []
        """The teams of the configuration, in the platform's format."""

        self.log_bytes = LOG_BYTES
        """What a node may log before somebody reads it."""

        self.base = find_port_base()
        instances = [
            {"name": name, "service": name.partition("-")[0], "host": host}
            for name, host in HOSTS.items()
        ]
        self.app_port = self.base + _mesh_process.OFFSETS["instance"]
        arguments = {"instances": instances, "app_port": self.app_port}
        self.child = site.Child("standins.mesh_site", [json.dumps(arguments)])
        stack.callback(self.child.close)
        self.ports = self.child.read_hello()
        self.nodes: dict[str, _mesh_process.MeshProcess] = {}

    def start(self) -> None:
        """Publish a configuration, start all nodes and wait for the store."""
        self.publish(1)
        for name in HOSTS:
            self.start_node(name)
        for node in self.nodes.values():
            node.wait_for("state compared with peers")

    def tell(self, command: str, **document: Any) -> Any:
        """Send an operator command to the stand-ins and return the answer."""
        url = f"http://127.0.0.1:{self.ports['operator']}/{command}"
        return site.request_json("POST", url, document)

    def publish(self, version: int, service: str = "booth") -> None:
        """Publish a configuration that routes all requests to ``service``."""
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
            "limits": {**documents.CONFIGURATION["limits"], **self.request_limits},
            "tenants": self.teams,
        }
        self.tell("put", key="op/config", value=configuration)
        for name, host in HOSTS.items():
            entry = {
                **documents.INSTANCE,
                "service": name.partition("-")[0],
                "address": f"{host}:{self.base + _mesh_process.OFFSETS['instance']}",
            }
            self.tell("put", key=f"servers/{name}", value=entry)

    def start_node(self, name: str) -> _mesh_process.MeshProcess:
        """Start the node of the instance ``name``."""
        host = HOSTS[name]
        ports = {
            listener: str(self.base + offset)
            for listener, offset in _mesh_process.OFFSETS.items()
        }
        text = (
            documents.SETTINGS.replace("127.0.0.1", host)
            .replace('"ledger"', f'"{name.partition("-")[0]}"')
            .replace("[7620, 7635]", f"[{ports['peer']}, {ports['last']}]")
            .replace('\n[bounds]\ngrace = "6s"\n', self.bounds)
            .replace(":8301", f":{ports['instance']}")
            .replace(":8304", f":{ports['egress']}")
            .replace(":8302", f":{ports['readiness']}")
            .replace("127.0.0.9:8309", f"127.0.0.1:{self.ports['store']}")
        )
        path = self.folder / f"{name}.toml"
        path.write_text(text + self.extra_settings)
        process = subprocess.Popen(
            [sys.executable, "-m", "jujubetiller", "mesh"],
            stdout=subprocess.PIPE,
            # Tests read few lines of the output.
            pipesize=self.log_bytes,
            text=True,
            env={
                **os.environ,
                "JUJUBETILLER_CONFIG": str(path),
                "PYTHONPATH": os.pathsep.join(sys.path) or ".",
            },
        )
        node = self.nodes[name] = _mesh_process.MeshProcess(host, self.base, process)
        self.stack.callback(node.close)
        return node
