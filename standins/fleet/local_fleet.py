"""A complete site of nodes and stand-ins on the in-memory network."""

import collections
import json
import random
from collections.abc import Iterable
from typing import Any

import attrs
import result
from twisted.internet import defer
from twisted.web import server

from jujubetiller import codes, node, records, schema, settings
from standins import client, headers, site, target
from standins.fleet import _port, _process, _process_clock, network
from standins.load import _client_request, _kind_counters, _load_plan
from standins.platform import Faults, ReadRate, ValueSite, ValueStore

SIGNING_KEY = "signing key of the fault matrix"
RETRY_TOKENS = 3
DEADLINE_MS = 1_500
ANSWER_BYTES = 60_000
"""Large enough that an answer is split into several frames."""

ALWAYS_SLOW_KINDS = frozenset(("book",))
"""Kinds whose answers, except replays, exceed ``SLOW_MS`` and must have a record."""

SLOW_MS = 5

NON_IDEMPOTENT_KINDS = frozenset(("book", "payout"))
INSTANCES = {
    "gate-1": ("gate", "a"),
    "booth-1": ("booth", "b"),
    "booth-2": ("booth", "c"),
    "ledger-1": ("ledger", "b"),
    "ledger-2": ("ledger", "c"),
}
PATHS: dict[str, dict[str, Any]] = {
    "gate": {},
    "booth": {
        "/slots": {
            "run_ms": 30,
            "answer_bytes": ANSWER_BYTES,
            "calls": [
                {
                    "service": "ledger",
                    "path": "/balance",
                    "method": "GET",
                    "retries": 2,
                }
            ],
        },
        "/bookings": {
            "run_ms": 30,
            "calls": [{"service": "ledger", "path": "/payouts"}],
        },
    },
    "ledger": {"/balance": {"run_ms": 20}, "/payouts": {"run_ms": 20}},
}
KINDS = {
    "look": ("booth", "GET", "/slots", True),
    "book": ("booth", "POST", "/bookings", False),
    "balance": ("ledger", "GET", "/balance", True),
    "payout": ("ledger", "POST", "/payouts", False),
}


def make_ticket(number: int = 1, slots: int = 20, **changes: Any) -> dict[str, Any]:
    """Return a ticket with all services and kinds."""
    objects: dict[str, Any] = {f"service/{name}": {"slots": slots} for name in PATHS}
    for name, (service, method, path, idempotent) in KINDS.items():
        objects[f"request_kind/{name}"] = {
            "service": service,
            "method": method,
            "path_prefix": path,
            "priority_class": 0 if not idempotent else 2,
            "idempotent": idempotent,
            "deadline_ms": DEADLINE_MS,
            "retry_tokens": RETRY_TOKENS,
        }
        if name in ALWAYS_SLOW_KINDS:
            objects[f"request_kind/{name}"]["slow_ms"] = SLOW_MS
    return {"number": number, "author": "operations", "objects": objects | changes}


def dump(document: Any) -> str:
    """Return ``document`` as JSON."""
    return json.dumps(document)


@attrs.define(eq=False)
class RecordCheckedRequest(_client_request.ClientRequest):
    """A request that lists its answers whose signed record is missing or wrong."""

    record_faults: list[str] = attrs.field(factory=list)
    sent_at: float = 0.0

    async def attempt(
        self, sender: client.Client, entry: str, passed_on: dict[str, str]
    ) -> Any:
        """Record the time of sending and send once."""
        self.sent_at = self.reactor.seconds()
        return await super().attempt(sender, entry, passed_on)

    def classify(self, answer: client.Answer) -> str:
        """Classify the answer and check its signed record against its code."""
        end = super().classify(answer)
        took_ms = (self.reactor.seconds() - self.sent_at) * 1000
        is_slow = self.kind.name in ALWAYS_SLOW_KINDS and took_ms > SLOW_MS
        if end in ("not-run", "unknown") or is_slow:
            verified = records.RecordSigner([SIGNING_KEY]).verify(
                answer.header(headers.RECORD)
            )
            code = answer.header(headers.CODE)
            if isinstance(verified, result.Err):
                self.record_faults.append(f"{self.marker}: {end} {code} has no record")
            elif str(int(verified.ok_value.code)) != code:
                self.record_faults.append(f"{self.marker}: record of another code")
        return end


@attrs.define(eq=False)
class KeyedRequest(RecordCheckedRequest):
    """A request whose attempts all carry the same execution key."""

    key: str = ""

    async def attempt(
        self, sender: client.Client, entry: str, passed_on: dict[str, str]
    ) -> Any:
        """Send once with the execution key."""
        return await super().attempt(sender, entry, {headers.KEY: self.key})


class Fleet:
    """Runs nodes, targets, a platform and a client, each as a simulated process."""

    def __init__(
        self,
        seed: int = 1,
        slots: int = 20,
        queue_order: str = "priority",
    ) -> None:
        self.seed = seed
        self.slots = slots
        self.queue_order = queue_order
        self.network = network.Network()
        self.nodes: dict[str, node.Node] = {}
        self.all_nodes: list[node.Node] = []
        self.targets: dict[str, target.TargetSite] = {}
        self.all_targets: list[tuple[str, target.TargetSite]] = []
        self.target_ports: dict[str, int] = {}
        self.starts: collections.Counter[str] = collections.Counter()
        self.states = dict.fromkeys(INSTANCES, "live")
        self.left_over: dict[str, int] = {}
        self.ends: dict[str, dict[str, Any]] = {}
        self.counters: collections.defaultdict[str, _kind_counters.KindCounters] = (
            collections.defaultdict(_kind_counters.KindCounters)
        )
        self.sent = 0
        self.requests: list[RecordCheckedRequest] = []
        platform = self.network.start("platform", "platform")
        self.store = ValueStore()
        clock = _process_clock.ProcessClock(platform)
        self.values = ValueSite(self.store, ReadRate(clock, 2_000), platform)
        self.platform_port = platform.listenTCP(
            0, server.Site(self.values, reactor=platform)
        ).number
        self.client_process = self.network.start("client", "client")
        self.client = client.Client(self.client_process)
        self.store.publish_ticket(make_ticket(slots=slots))
        for instance in INSTANCES:
            self.start_target(instance)
            self.start_node(instance)
        self.publish_instances()

    def start_target(self, instance: str) -> None:
        """Start the target of an instance, on the same port after each restart."""
        service, zone = INSTANCES[instance]
        process = self.network.start(f"{instance}.target", zone)
        plan = {"instance": instance, "service": service, "paths": PATHS[service]}
        site_ = target.TargetSite(make_plan(plan), process)
        self.targets[instance] = site_
        self.all_targets.append((f"{instance} {len(self.all_targets)}", site_))
        port = process.listenTCP(
            self.target_ports.get(instance, 0), server.Site(site_, reactor=process)
        )
        self.target_ports[instance] = port.number
        if instance in self.nodes:
            self.set_route(instance)

    def set_route(self, instance: str) -> None:
        """Route the nested calls of a target through its own node."""
        address = self.nodes[instance].bound_addresses()["service"]
        self.targets[instance].caller.routes = {"*": (address,)}

    def start_node(self, instance: str) -> None:
        """Start the node of an instance; an earlier one must have ended."""
        service, zone = INSTANCES[instance]
        self.starts[instance] += 1
        any_port = {"host": _port.HOST, "port": 0}
        document = {
            "instance": instance,
            "service": service,
            "zone": zone,
            "listen": dict.fromkeys(("edge", "service", "peer", "admin"), any_port),
            "target": {"address": any_port | {"port": self.target_ports[instance]}},
            "platform": {"address": any_port | {"port": self.platform_port}},
            "records": {"signing_keys": [SIGNING_KEY]},
            "limits": {
                "slots": self.slots,
                "policy": "fixed",
                "queue_wait_ms": 1_000,
                "queue_order": self.queue_order,
            },
            "control": {"digest_ms": 500, "join_wait_ms": 500},
        }
        loaded = settings.load_settings(json.dumps(document))
        assert isinstance(loaded, result.Ok), loaded
        process = self.network.start(instance, zone)
        clock = _process_clock.ProcessClock(process)
        number = list(INSTANCES).index(instance) + 100 * self.starts[instance]
        generator = random.Random(self.seed * 10_000 + number)
        started = node.Node(process, clock, clock, generator, loaded.ok_value)
        started.start()
        self.nodes[instance] = started
        self.all_nodes.append(started)
        self.set_route(instance)

    def publish_instances(self) -> None:
        """Publish each availability zone's list of VMs."""
        for zone in sorted({zone for _, zone in INSTANCES.values()}):
            listed = [
                {
                    "instance": name,
                    "service": INSTANCES[name][0],
                    "zone": zone,
                    "host": _port.HOST,
                    "peer_port": self.nodes[name].bound_addresses()["peer"].port,
                    "state": state,
                }
                for name, state in self.states.items()
                if INSTANCES[name][1] == zone
            ]
            self.store.publish_instances(zone, {"instances": listed})

    def wait_ready(self) -> None:
        """Run until every node is ready and knows all others."""

        def is_ready() -> bool:
            return all(
                one.parts.state.ready
                and one.parts.tickets.number >= 1
                and self.count_live_instances(one) >= len(INSTANCES)
                for one in self.nodes.values()
            )

        assert self.network.run_until(is_ready, 10_000), "the fleet is not ready"
        # The streams of the control exchange must be open before a fault is injected.
        self.network.run_for(600)

    def count_live_instances(self, one: node.Node) -> int:
        """Return how many instances are live in a node's membership table."""
        assert one.exchange is not None
        records = one.exchange.table.instances()
        return sum(record.boot_id != "" for record in records)

    def process(self, name: str) -> _process.Process:
        """Return the process of a node, or of a target ``<instance>.target``."""
        return self.network.processes[name]

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.network.kill(self.process(name))

    def drain(self, instance: str) -> None:
        """Stop a node as SIGTERM does; the process ends when it has drained."""
        drained, process = self.nodes[instance], self.process(instance)

        def ended(left_over: int) -> None:
            self.left_over[instance] = left_over
            process.callLater(0, self.network.kill, process)

        def stop() -> None:
            drained.drain().addCallback(ended)

        process.callLater(0, stop)

    def set_platform(self, mode: str) -> None:
        """Set the fault of the platform."""
        faults = Faults(mode="none" if mode == "down" else mode, delay_ms=1_000)
        self.values.set_faults(faults)
        process = self.process("platform")
        if mode == "down":
            for end in self.network.ends:
                if end.process is process:
                    end.abortConnection()
            self.network.ports.pop(self.platform_port, None)
        elif self.platform_port not in self.network.ports:
            site_ = server.Site(self.values, reactor=process)
            process.listenTCP(self.platform_port, site_)

    def send(
        self, kind: str, entries: Iterable[str] = ("gate-1",), key: str = ""
    ) -> str:
        """Send a request; each retry goes to the next of the entry nodes."""
        self.sent += 1
        marker = f"<{self.sent}-{kind}>"
        service, method, path, _ = KINDS[kind]
        load_kind = _load_plan.LoadKind(
            name=kind,
            service=service,
            path=path,
            rate=1.0,
            method=method,
            deadline_ms=DEADLINE_MS,
            retries=2,
            retry_mode="hard" if key else "token",
        )
        plan = _load_plan.LoadPlan(entries=(), kinds=(), phases=())
        arguments = (
            *(load_kind, plan, self.counters[kind], marker, marker.encode()),
            *(self.client_process.seconds(), self.client_process),
        )
        request = (
            KeyedRequest(*arguments, key=key)
            if key
            else RecordCheckedRequest(*arguments)
        )
        addresses = [str(self.nodes[one].bound_addresses()["edge"]) for one in entries]

        def ended(end: Any) -> None:
            self.counters[kind].outcomes[str(end)] += 1
            self.ends[marker] = {
                "marker": marker,
                "kind": kind,
                "end": str(end),
                "attempts": request.attempts,
                "key": key,
            }

        self.requests.append(request)
        running = defer.Deferred.fromCoroutine(request.run(self.client, addresses))
        running.addBoth(ended)
        return marker

    def send_raw(self, kind: str, sent: dict[str, str]) -> list[client.Answer]:
        """Send once with the given headers; return the answer."""
        service, method, path, _ = KINDS[kind]
        return self.ask(method, f"/{service}{path}", sent, "gate-1")

    def ask(
        self, method: str, path: str, sent: dict[str, str], entry: str
    ) -> list[client.Answer]:
        """Send to a node's listener for clients and wait for the answer."""
        url = f"http://{self.nodes[entry].bound_addresses()['edge']}{path}"
        answers: list[Any] = []
        asked = defer.Deferred.fromCoroutine(self.client.call(method, url, sent, b""))
        asked.addBoth(answers.append)
        assert self.network.run_until(lambda: bool(answers), 2_000)
        return answers

    def mint_key(self, kind: str = "book", entry: str = "gate-1") -> str:
        """Return an execution key minted by a node."""
        answer = self.ask("POST", f"/_keys/{kind}", {}, entry)[0]
        return str(json.loads(answer.body)["key"])

    def run_to_end(self) -> None:
        """Run until every request has ended; the deadline bounds each attempt."""
        limit_ms = 6 * DEADLINE_MS
        ended = self.network.run_until(lambda: len(self.ends) == self.sent, limit_ms)
        assert ended, f"{self.sent - len(self.ends)} requests never ended"

    def runs(self) -> dict[str, Any]:
        """Return the run counters of all targets, including killed ones."""
        return {name: one.counters.report() for name, one in self.all_targets}

    def find_broken_promises(self) -> list[str]:
        """Return a sentence for each violated guarantee."""
        summary = {
            "kinds": {name: one.summary() for name, one in self.counters.items()},
            "requests": list(self.ends.values()),
        }
        broken = site.find_broken_promises(
            [summary], self.runs(), NON_IDEMPOTENT_KINDS, RETRY_TOKENS
        )
        broken += self.find_false_not_run() + self.find_excess_retries()
        for request in self.requests:
            broken += request.record_faults
        broken += [
            f"the planned stop of {name} left {number} calls over"
            for name, number in self.left_over.items()
            if number
        ]
        return broken

    def find_excess_retries(self) -> list[str]:
        """Return a sentence if nodes sent more retries than all call trees allow."""
        tree_count = sum(
            len(end["attempts"]) if end["key"] else 1 for end in self.ends.values()
        )
        retries_sent = sum(
            number
            for one in self.all_nodes
            for number in one.parts.metrics.retries.values.values()
        )
        if retries_sent <= RETRY_TOKENS * tree_count:
            return []
        return [f"nodes repeated calls {retries_sent:.0f} times in {tree_count} trees"]

    def find_false_not_run(self) -> list[str]:
        """Return a sentence for each key that ran after the answer ``not-run``.

        The owner seals a key before any node may answer that it was not run, so
        that a later attempt with the key can't run either.
        """
        runs = site.sum_runs(self.runs())
        return [
            f"{marker} ran, and an attempt with its key was told not-run"
            for marker, end in self.ends.items()
            if end["key"] and "not-run" in end["attempts"] and runs[marker]
        ]


def make_plan(document: dict[str, Any]) -> target.TargetPlan:
    """Return ``document`` as the plan of a target."""
    plan = schema.structure(document, target.TargetPlan, codes.ResultCode.BAD_REQUEST)
    assert isinstance(plan, result.Ok), plan
    return plan.ok_value
