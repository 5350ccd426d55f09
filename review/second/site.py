"""A small site on loopback, and the frame in which a case runs."""

import asyncio
import contextlib
import os
import pathlib
import random
import socket
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from review.second import client, instance, machine, store

ZONES = ("shah-alam", "puchong", "klang-port")

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

LONGEST_S = 110.0


class CaseError(Exception):
    """The case could not run."""


def find_base(hosts: list[str]) -> int:
    """Return a first port whose followers are free on all hosts."""
    for _ in range(200):
        base = random.randrange(20_000, 30_000, 20)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for offset in range(20):
                        probe = stack.enter_context(socket.socket())
                        probe.bind((host, base + offset))
            except OSError:
                continue
            return base
    raise CaseError("no free ports")


class Site:
    """Machines with their instances, the store and what was seen."""

    def __init__(self, folder: pathlib.Path, services: dict[str, int]) -> None:
        self.folder = folder
        self.store = store.Store()
        self.runs: list[instance.Run] = []
        self.sent: list[client.Sent] = []
        self.lines: list[str] = []
        self.machines: dict[str, machine.Machine] = {}
        names = [
            (f"{service}-{number + 1}", service, ZONES[number % len(ZONES)])
            for service, count in services.items()
            for number in range(count)
        ]
        hosts = [f"127.0.77.{index + 1}" for index in range(len(names))]
        self.store_host = "127.0.77.200"
        base = find_base([*hosts, self.store_host])
        self.store_port = base + 9
        self.store_address = f"{self.store_host}:{self.store_port}"
        for (name, service, zone), host in zip(names, hosts, strict=True):
            app = base + machine.OFFSETS["app"]
            served = instance.Instance(name, service, host, app, self.runs)
            self.machines[name] = machine.Machine(
                folder, served, zone, base, self.store_address
            )

    def now(self) -> float:
        """Return the steady time in seconds."""
        return asyncio.get_running_loop().time()

    def note(self, text: str) -> None:
        """Write a line into the record, with the steady time."""
        self.lines.append(f"{self.now():.3f} {text}")

    def publish(
        self, version: int, rules: list[dict[str, Any]], what: str = ""
    ) -> float:
        """Publish a configuration; return the time of its ack."""
        services = sorted({each.instance.service for each in self.machines.values()})
        acked_at = self.store.put(
            "op/config",
            {
                "version": f"{version:08x}",
                "base_version": f"{max(0, version - 1):08x}",
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 67108864,
                    "header_timeout": "3000ms",
                    "idle_timeout": "15000ms",
                },
                "listeners": [{"host": "a.example", "rules": rules}],
                "clusters": [
                    {
                        "name": service,
                        "health_path": "/healthz",
                        "max_connections": 1390,
                        "protocol": "h1",
                        "tls": False,
                    }
                    for service in services
                ],
            },
        )
        self.note(f"configuration {version} acknowledged {what}".rstrip())
        return acked_at

    async def start(self, rules: list[dict[str, Any]]) -> None:
        """Start everything and wait until all nodes are ready."""
        await self.store.listen(self.store_host, self.store_port)
        self.publish(1, rules)
        for each in self.machines.values():
            await each.instance.start()
            born = machine.now_unix_ms()
            self.store.put(f"servers/{each.instance.name}", each.entry("ready", born))
        for each in self.machines.values():
            each.start()
        ends_at = self.now() + 30.0
        for each in self.machines.values():
            while not await each.is_ready():
                if self.now() > ends_at:
                    raise CaseError(f"{each.name} is not ready")
                await asyncio.sleep(0.1)
        self.note("all nodes are ready")

    async def send(
        self, name: str, request: str, path: str, **options: Any
    ) -> client.Sent:
        """Send a request of a client on the machine ``name`` and record it."""
        sent = await self.machines[name].send(request, path, **options)
        self.sent.append(sent)
        return sent

    async def send_steadily(
        self,
        names: list[str],
        prefix: str,
        path: str,
        gap_s: float,
        until: float,
        method: str = "POST",
    ) -> None:
        """Send a request from each machine in turn, every ``gap_s``, and wait."""
        tasks = []
        number = 0
        while self.now() < until:
            number += 1
            name = names[number % len(names)]
            request = f"{prefix}{number:06d}"
            task = asyncio.create_task(
                self.send(name, request, f"{path}{number}", method=method)
            )
            tasks.append(task)
            await asyncio.sleep(gap_s)
        await asyncio.gather(*tasks)

    def close(self) -> None:
        """End all that was started."""
        for each in self.machines.values():
            each.instance.stop()
            each.end()
        self.store.close()

    def write_record(self, path: pathlib.Path) -> None:
        """Write what was sent, answered and run."""
        lines = [*self.lines, ""]
        lines += [
            f"{sent.sent_at:.3f} sent {sent.request} {sent.path} at {sent.machine}; "
            f"{sent.answered_at:.3f} answered {sent.status or 'nothing'} {sent.body}"
            for sent in self.sent
        ]
        lines += [
            "",
            *(
                f"{run.at:.3f} run {run.request} {run.path} by {run.instance} "
                f"({run.service}), {'answered' if run.is_answered else 'not answered'}"
                for run in self.runs
            ),
        ]
        path.write_text("\n".join(lines) + "\n")


def make_rule(
    name: str, prefix: str, service: str, kind: str = "non_idempotent", **changes: str
) -> dict[str, Any]:
    """Return a rule of a configuration."""
    return {
        "name": name,
        "kind": kind,
        "target_latency": changes.get("target_latency", "1200ms"),
        "priority": 0,
        "match": {"prefix": prefix},
        "action": {
            "service": service,
            "timeout": changes.get("timeout", "2500ms"),
            "max_attempts": 2,
        },
    }


def run_case(
    folder: pathlib.Path,
    services: dict[str, int],
    play: Callable[[Site, bool], Awaitable[bool]],
) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, else 2."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        # The tasks of connections that are still served end with the loop.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        with tempfile.TemporaryDirectory() as temporary:
            site = Site(pathlib.Path(temporary), services)
            site.note(f"trouble: {has_trouble}")
            try:
                async with asyncio.timeout(LONGEST_S):
                    is_broken = await play(site, has_trouble)
                result = BROKEN if is_broken else HELD
            except (CaseError, TimeoutError) as error:
                site.note(f"could not run: {error!r}")
                result = COULD_NOT_RUN
            finally:
                site.close()
            site.note(f"exit {result}")
            site.write_record(folder / "record.txt")
            print("\n".join(site.lines))
            return result

    try:
        return asyncio.run(run())
    except Exception:
        traceback.print_exc()
        return COULD_NOT_RUN


def main(
    folder: str, services: dict[str, int], play: Callable[[Site, bool], Awaitable[bool]]
) -> None:
    """Play the case of ``folder`` and exit with its result."""
    sys.exit(run_case(pathlib.Path(folder).resolve().parent, services, play))
