"""Mesh nodes and stand-in instances on the in-memory network."""

import functools
import random
from typing import Any

import attrs

from jujubetiller import edge, mesh, platform, published, settings
from jujubetiller.mesh import _egress_site
from standins import mesh_site
from standins.fleet import _given_source, _process, _process_clock, network
from standins.mesh_site import documents

APP_PORT = 8301
PATHS = {"get": "GET", "book": "POST"}
READ_CLASS, BOOK_CLASS = 2, 0
MAX_BODY_BYTES = 1_048_576
MAX_CONNECTIONS = 1_000
OPERATOR_ZONE = "operator"


@attrs.frozen
class Place:
    """Where an instance and its node run."""

    service: str
    zone: str
    host: str


@attrs.define(eq=False)
class SentRequest:
    """A request of a client and its reply."""

    request_id: str
    entry: str
    name: str
    sent_at_ms: float
    reply: edge.EdgeReply | None = None


class MeshFleet:
    """Runs a mesh node beside each instance, all in virtual time.

    Requests of ``get`` are idempotent and of the least important class, those of
    ``book`` are non-idempotent and of the most important one. Both go to ``booth``.
    """

    def __init__(
        self, services: dict[str, str], work_ms: float = 20.0, bounds: str = ""
    ) -> None:
        """Start the nodes of the instances in ``services``, which maps them to theirs.

        The zone of an instance is the number at the end of its name. ``bounds`` holds
        further lines of that table of the settings.
        """
        self.bounds = bounds
        self.network = network.Network()
        self.places = {
            name: Place(service, name.rpartition("-")[2], f"127.0.9.{index + 1}")
            for index, (name, service) in enumerate(services.items())
        }
        self.instances: dict[str, mesh_site.InstanceSite] = {}
        self.nodes: dict[str, mesh.MeshNode] = {}
        self.sources: dict[str, _given_source.GivenSource] = {}
        self.items: list[published.PublishedItem] = []
        self.sent: list[SentRequest] = []
        self.crash_plan = mesh_site.CrashPlan()
        self.operator = self.network.start("operator", OPERATOR_ZONE)
        """Starts instances again after crashes."""

        self.work_ms = work_ms
        self.starts = 0
        self.start_store()
        self.publish("op/config", make_configuration())
        for name, place in self.places.items():
            self.start_instance(name, place)
            self.publish_instance(name)
        for name in self.places:
            self.start_node(name)
        self.network.run_for(500.0)

    def start_store(self) -> None:
        """Do nothing: nodes are given what is published."""

    def start_instance(self, name: str, place: Place) -> None:
        """Start the instance ``name`` in a process of its own."""
        process = self.network.start(f"{name}.instance", place.zone)
        site = mesh_site.InstanceSite(process, name, place.service, self.work_ms)
        site.crash_plan = self.crash_plan
        site.crash = functools.partial(self.crash_instance, name)
        self.instances[name] = site
        factory = edge.PipelinedFactory(
            process,
            _process_clock.ProcessClock(process),
            site,
            MAX_BODY_BYTES,
            MAX_CONNECTIONS,
        )
        process.listenTCP(APP_PORT, factory, interface=place.host)

    def crash_instance(self, name: str) -> None:
        """End an instance without notice; it starts again a while later."""
        process = self.network.processes[f"{name}.instance"]
        if process.is_dead:
            return
        self.network.kill(process)
        down_s = self.crash_plan.down_ms / 1000.0
        self.operator.callLater(down_s, self.restart_instance, name)

    def restart_instance(self, name: str) -> None:
        """Start an instance again under its name, as a new lifetime."""
        self.start_instance(name, self.places[name])
        born = documents.INSTANCE["born"] + int(self.network.now_ms)
        self.publish_instance(name, born=born)

    def start_node(self, name: str) -> mesh.MeshNode:
        """Start the node beside the instance ``name``; an earlier one must be dead."""
        place = self.places[name]
        process = self.network.start(name, place.zone)
        time_source = _process_clock.ProcessClock(process)
        self.starts += 1

        node = mesh.MeshNode(
            process,
            time_source,
            random.Random(self.starts),
            self.load_settings(name),
            platform.HEADERS,
            platform.PlatformDecoder(),
            functools.partial(self.make_source, name, process),
            _process_clock.BootClock(process),
        )
        node.start()
        self.nodes[name] = node
        self.feed_source(name)
        return node

    def load_settings(self, name: str) -> settings.MeshSettings:
        """Return the settings of the node ``name``."""
        text = make_settings(name, self.places[name], self.bounds)
        return platform.load_settings(text).unwrap()

    def make_source(
        self, name: str, process: _process.Process, state: published.PublishedState
    ) -> published.ItemSource:
        """Return what the node ``name`` reads published items from."""
        time_source = _process_clock.ProcessClock(process)
        self.sources[name] = _given_source.GivenSource(time_source, state)
        return self.sources[name]

    def feed_source(self, name: str) -> None:
        """Give a node that has started what is published."""
        self.sources[name].give(self.changes())

    def kill_node(self, name: str) -> None:
        """Kill the node beside the instance ``name``, which goes on."""
        self.network.kill(self.network.processes[name])

    def publish_instance(self, name: str, **changes: Any) -> None:
        """Publish the entry of an instance, with ``changes``."""
        place = self.places[name]
        entry = {
            **documents.INSTANCE,
            "service": place.service,
            "address": f"{place.host}:{APP_PORT}",
            "zone": place.zone,
            "warmup_left": "0ms",
            **changes,
        }
        self.publish(f"servers/{name}", documents.encode(entry))

    def publish(self, key: str, value: bytes | None) -> None:
        """Publish an item; nodes that reach the store apply it at once."""
        revision = published.Revision(number=len(self.items) + 1)
        item = published.PublishedItem(key, revision, value)
        self.items.append(item)
        for source in self.sources.values():
            source.give(published.Changes(item.revision, (item,), False))

    def changes(self) -> published.Changes:
        """Return all items published so far."""
        return published.Changes(
            published.Revision(number=len(self.items)), tuple(self.items), False
        )

    def send(
        self,
        entry: str,
        kind: str = "get",
        time_left_ms: int = 2_000,
        name: str = "1",
    ) -> None:
        """Send a request for ``name`` of a client of the node ``entry``."""
        request_id = f"{kind}-{len(self.sent)}"
        sent = SentRequest(request_id, entry, name, self.network.now_ms)
        self.sent.append(sent)
        message = edge.EdgeMessage(
            PATHS[kind],
            f"/{kind}/{name}",
            (("host", "a.example"),),
            {
                "jujubetiller-request-id": request_id,
                "jujubetiller-deadline-ms": str(time_left_ms),
            },
            b"",
        )

        def reply(answer: edge.EdgeReply) -> None:
            sent.reply = answer

        _egress_site.EgressSite(self.nodes[entry].parts).handle(message, reply)

    def run_load(self, duration_ms: float, step_ms: float, *entries: str) -> None:
        """Send a ``get`` at each of ``entries`` every ``step_ms``."""
        end_ms = self.network.now_ms + duration_ms
        while self.network.now_ms < end_ms:
            for entry in entries:
                self.send(entry)
            self.network.run_for(step_ms)

    def count_statuses(self, kind: str, since_ms: float = 0.0) -> dict[int, int]:
        """Return the numbers of replies to requests sent from ``since_ms`` on."""
        counts: dict[int, int] = {}
        for sent in self.sent:
            if sent.sent_at_ms < since_ms or not sent.request_id.startswith(kind):
                continue
            status = sent.reply.status if sent.reply is not None else 0
            counts[status] = counts.get(status, 0) + 1
        return counts


def make_settings(name: str, place: Place, bounds: str = "") -> bytes:
    """Return the settings of a node in the platform's format."""
    text = documents.SETTINGS.replace("127.0.0.1", place.host)
    text = text.replace("[bounds]", f"[bounds]\n{bounds}")
    text = text.replace('"sidecar-a-1"', f'"{name}"')
    text = text.replace('"ledger"', f'"{place.service}"')
    return text.replace('zone = "a"', f'zone = "{place.zone}"').encode()


def make_configuration(
    version: int = 12, service: str = "booth", timeout: str = "3000ms"
) -> bytes:
    """Return a configuration that routes ``get`` and ``book`` to ``service``."""
    rule = documents.CONFIGURATION["listeners"][0]["rules"][1]
    action = {"service": service, "timeout": timeout, "max_attempts": 2}
    get = {"name": "get", "kind": "idempotent", "priority": READ_CLASS}
    book = {"name": "book", "kind": "non_idempotent", "priority": BOOK_CLASS}
    rules = [
        {**rule, **get, "match": {"prefix": "/get/"}, "action": action},
        {**rule, **book, "match": {"prefix": "/book/"}, "action": action},
    ]
    return documents.encode(
        documents.CONFIGURATION,
        version=f"{version:08x}",
        listeners=[{"host": "a.example", "rules": rules}],
    )


def find_excess(
    arrivals: list[float], limit_per_s: float, from_ms: float, window_ms: float
) -> float:
    """Return the most arrivals in any window, less what the limit allows there.

    An instance takes one and a half times its limit, and five more.
    """
    allowed = 1.5 * limit_per_s * window_ms / 1_000.0 + 5
    late = [at_ms for at_ms in arrivals if at_ms >= from_ms]
    counts = [sum(at <= other < at + window_ms for other in late) for at in late]
    return max(counts, default=0) - allowed
