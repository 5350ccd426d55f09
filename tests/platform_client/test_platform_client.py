"""Guards against a platform client that hangs, sends too many requests or accepts
outdated values."""

import json
import random
from collections.abc import Callable
from typing import Any

import pytest
import result
from twisted.internet import defer, task
from twisted.test import iosim
from twisted.web import client, resource, server

from jujubetiller import platform_client, published, settings, tickets
from tests import reactor_clock

ADDRESS = settings.Address("127.0.0.1", 1)
Answer = Callable[[server.Request], Any]


class Platform(resource.Resource):
    """A configuration service whose answers the test sets."""

    def __init__(self, reactor: task.Clock) -> None:
        super().__init__()
        self.isLeaf = True
        self.reactor = reactor
        self.values: dict[str, tuple[int, Any]] = {}
        self.status = 0
        self.silent_connections: set[object] = set()
        self.requests: list[str] = []
        self.waiting: list[server.Request] = []

    def render_GET(self, request: server.Request) -> Any:
        path = request.path.decode()
        self.requests.append(path)
        if request.channel in self.silent_connections:
            return server.NOT_DONE_YET
        if self.status:
            request.setResponseCode(self.status)
            return b""
        key = path.split("/", 3)[3]
        after = int(request.args.get(b"after", [b"-1"])[0])
        version, value = self.values.get(key, (-1, None))
        if version < 0:
            request.setResponseCode(404)
            return b""
        if version == after:
            self.waiting.append(request)
            wait_s = int(request.args[b"wait_ms"][0]) / 1_000
            self.reactor.callLater(wait_s, self._end_watch, request)
            return server.NOT_DONE_YET
        return json.dumps({"key": key, "version": version, "value": value}).encode()

    def _end_watch(self, request: server.Request) -> None:
        if request in self.waiting:
            self.waiting.remove(request)
            request.setResponseCode(204)
            request.finish()

    def publish(self, key: str, version: int, value: Any) -> None:
        self.values[key] = (version, value)
        waiting, self.waiting = self.waiting, []
        for request in waiting:
            request.write(self.render_GET(request))
            request.finish()


class MemoryEndpoint:
    """Connects a client to the platform in memory."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation

    def connect(self, factory: Any) -> defer.Deferred[Any]:
        if self.simulation.is_down:
            return defer.fail(ConnectionRefusedError())
        server_protocol = self.simulation.site.buildProtocol(None)
        client_protocol = factory.buildProtocol(None)
        pump = iosim.connect(
            server_protocol,
            iosim.makeFakeServer(server_protocol),
            client_protocol,
            iosim.makeFakeClient(client_protocol),
        )
        self.simulation.channels.append(server_protocol)
        self.simulation.pumps.append(pump)
        return defer.succeed(client_protocol)


class Simulation:
    """A client and a platform on one simulated reactor."""

    def __init__(self, silent_ms: int = 2_500) -> None:
        self.reactor = task.Clock()
        self.platform = Platform(self.reactor)
        self.site = server.Site(self.platform, reactor=self.reactor)
        self.is_down = False
        self.pumps: list[Any] = []
        self.channels: list[Any] = []
        self.fresh: list[float] = []
        pool = client.HTTPConnectionPool(self.reactor, persistent=True)
        agent = client.Agent.usingEndpointFactory(
            self.reactor,
            self,
            pool,  # type: ignore[arg-type]
        )
        self.client = platform_client.PlatformClient(
            self.reactor,
            reactor_clock.ReactorClock(self.reactor),
            settings.PlatformSettings(ADDRESS, watch_silent_ms=silent_ms),
            random.Random(1),
            agent,
            lambda: self.fresh.append(self.reactor.seconds()),
        )

    def endpointForURI(self, uri: Any) -> MemoryEndpoint:
        return MemoryEndpoint(self)

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 10):
            self.reactor.advance(0.01)
            for pump in self.pumps:
                pump.flush()

    def read(self, key: str) -> Any:
        answers: list[Any] = []
        self.client.read(key).addCallback(answers.append)
        self.run(3_000)
        return answers[0]


def test_values_are_read_over_one_connection() -> None:
    simulation = Simulation()
    simulation.platform.values["a/b"] = (3, {"x": 1})
    for _ in range(3):
        answer = simulation.read("a/b")
        assert answer.ok_value == platform_client.PlatformValue("a/b", 3, {"x": 1})
    assert len(simulation.channels) == 1
    assert simulation.client.age_ms() >= 0


@pytest.mark.parametrize(
    ("status", "problem", "is_fresh"),
    [
        (404, platform_client.ReadProblem.MISSING, True),
        (429, platform_client.ReadProblem.OVER_RATE, False),
        (500, platform_client.ReadProblem.BAD_ANSWER, False),
    ],
)
def test_a_status_becomes_a_problem(
    status: int, problem: platform_client.ReadProblem, is_fresh: bool
) -> None:
    simulation = Simulation()
    simulation.platform.status = status
    assert simulation.read("a/b") == result.Err(problem)
    assert bool(simulation.fresh) is is_fresh


def test_a_value_over_its_bound_is_a_problem() -> None:
    simulation = Simulation()
    simulation.platform.values["a/b"] = (
        1,
        "x" * (platform_client.MAX_VALUE_BYTES + 9_999),
    )
    assert simulation.read("a/b") == result.Err(platform_client.ReadProblem.BAD_ANSWER)


def test_a_platform_that_is_down_is_polled_with_backoff() -> None:
    simulation = Simulation()
    simulation.is_down = True
    simulation.client.watch("k", published.Revision(0, 0), lambda value: None)
    simulation.run(60_000)
    assert 8 <= simulation.client.counts["unreachable"] <= 20
    assert simulation.client.age_ms() == -1


@pytest.mark.parametrize("status", [429, 500])
def test_a_watch_backs_off_from_refusals_and_recovers(status: int) -> None:
    simulation = Simulation()
    values: list[Any] = []
    simulation.client.watch("k", published.Revision(0, 0), values.append)
    simulation.platform.status = status
    simulation.run(30_000)
    assert len(simulation.platform.requests) <= 15
    simulation.platform.status = 0
    simulation.platform.publish("k", 1, "x")
    simulation.run(10_000)
    assert [value.value for value in values] == ["x"]


@pytest.mark.parametrize(
    ("silent_ms", "found"),
    [
        pytest.param(2_500, ["old", "new"], id="replaced"),
        pytest.param(120_000, ["old"], id="without the mechanism"),
    ],
)
def test_a_silent_watch_is_replaced_on_a_new_connection(
    silent_ms: int, found: list[str]
) -> None:
    simulation = Simulation(silent_ms)
    values: list[Any] = []
    simulation.platform.values["k"] = (1, "old")
    simulation.client.watch("k", published.Revision(0, 0), values.append)
    simulation.run(100)
    simulation.platform.silent_connections.update(simulation.channels)
    simulation.platform.waiting.clear()
    simulation.platform.values["k"] = (2, "new")
    simulation.run(2_400)
    assert [value.value for value in values] == ["old"]
    simulation.run(500)
    assert [value.value for value in values] == found
    assert len(simulation.channels) == len(found)


def test_an_older_version_is_ignored_and_counted() -> None:
    simulation = Simulation()
    values: list[int] = []
    simulation.platform.values["k"] = (5, "x")
    watch = simulation.client.watch(
        "k", published.Revision(0, 0), lambda value: values.append(value.version)
    )
    simulation.run(100)
    simulation.platform.publish("k", 4, "stale")
    simulation.run(100)
    fresh = len(simulation.fresh)
    simulation.run(5_000)
    assert (values, len(simulation.fresh)) == ([5], fresh)
    assert simulation.client.counts["older-version"] >= 1
    watch.stop()
    asked = len(simulation.platform.requests)
    simulation.client.watch(
        "k", published.Revision(0, 0), lambda value: values.append(value.version)
    )
    simulation.run(1_000)
    assert values == [5]
    assert len(simulation.platform.requests) <= asked + 2


def test_the_period_bounds_the_requests_of_a_watch() -> None:
    simulation = Simulation()
    simulation.platform.values["k"] = (1, "x")
    simulation.client.watch(
        "k", published.Revision(0, 0), lambda value: None, lambda: 3_000.0
    )
    simulation.run(29_000)
    assert len(simulation.platform.requests) <= 10


def test_a_constantly_changing_value_is_read_at_a_limited_rate() -> None:
    simulation = Simulation()

    def publish_next(value: platform_client.PlatformValue) -> None:
        simulation.platform.values["k"] = (value.version + 1, "x")

    simulation.platform.values["k"] = (1, "x")
    simulation.client.watch("k", published.Revision(0, 0), publish_next)
    simulation.run(1_000)
    assert 10 <= len(simulation.platform.requests) <= 21


def make_ticket(number: int) -> dict[str, Any]:
    objects = {f"service/s-{number}": {"slots": number}}
    return {"number": number, "author": "op", "objects": objects}


def publish_index(simulation: Simulation, version: int, *numbers: int) -> None:
    objects = {f"service/s-{number}": number for number in numbers}
    value = {"highest": max(numbers), "objects": objects}
    simulation.platform.publish("tickets/index", version, value)


def test_missing_tickets_are_fetched_and_a_bad_one_is_skipped() -> None:
    simulation = Simulation()
    state = tickets.TicketState(settings.ControlSettings())
    reader = platform_client.TicketReader(simulation.client, state, state.merge)
    for number in range(1, 8):
        simulation.platform.values[f"tickets/{number}"] = (1, make_ticket(number))
    simulation.platform.values["tickets/3"] = (1, {"number": 3})
    simulation.platform.values["tickets/4"] = (1, make_ticket(5))
    publish_index(simulation, 1, *range(1, 8))
    reader.start()
    simulation.run(1_000)
    assert sorted(state.services) == [f"s-{number}" for number in (1, 2, 5, 6, 7)]
    assert reader.bad_ticket_count == 2
    asked = simulation.platform.requests.count("/v1/values/tickets/3")
    simulation.platform.publish("tickets/index", 2, {"objects": 7})
    simulation.platform.values["tickets/8"] = (1, make_ticket(8))
    simulation.run(100)
    publish_index(simulation, 3, 8)
    simulation.run(2_000)
    assert (state.number, reader.bad_index_count) == (8, 1)
    assert simulation.platform.requests.count("/v1/values/tickets/3") == asked == 1
    reader.stop()
    publish_index(simulation, 4, 9)
    simulation.run(1_000)
    assert "/v1/values/tickets/9" not in simulation.platform.requests


def test_a_ticket_that_cannot_be_read_is_fetched_again() -> None:
    simulation = Simulation()
    state = tickets.TicketState(settings.ControlSettings())
    publish_index(simulation, 1, 1)
    platform_client.TicketReader(simulation.client, state, state.merge).start()
    simulation.run(1_000)
    assert state.number == 0
    simulation.platform.values["tickets/1"] = (1, make_ticket(1))
    simulation.run(5_000)
    assert state.number == 1


def test_lists_of_the_own_zone_and_of_unknown_zones_are_read() -> None:
    simulation = Simulation()
    lists: list[tuple[str, int, int]] = []
    address = {"host": "127.0.0.1", "peer_port": 7}
    entry = {"instance": "i", "service": "s", "zone": "a", **address}
    other = {**entry, "zone": "b"}
    simulation.platform.values |= {
        "vms/zones": (1, {"zones": ["a", "b", "c"]}),
        "vms/a": (4, {"instances": [entry]}),
        "vms/b": (2, {"instances": [other, {**other, "state": "leaving"}]}),
    }
    platform_client.VmListReader(
        simulation.client,
        "a",
        lambda: ["c"],
        lambda zone, records, version: lists.append((zone, len(records), version)),
    ).start()
    simulation.run(5_000)
    assert lists == [("a", 1, 4), ("b", 2, 2)]
    assert "/v1/values/vms/c" not in simulation.platform.requests
    bad = {"instances": [entry, {**entry, "host": "name"}]}
    simulation.platform.publish("vms/a", 5, bad)
    simulation.run(1_000)
    assert lists == [("a", 1, 4), ("b", 2, 2)]


@pytest.mark.parametrize(
    ("value", "field"),
    [
        (None, "instances"),
        ({"instances": [{}]}, "instances[0]"),
        ({"instances": [{"instance": ""}]}, "instances[0]"),
    ],
)
def test_a_bad_list_names_the_field(value: Any, field: str) -> None:
    parsed = platform_client.parse_instances(value, "a")
    assert isinstance(parsed, result.Err)
    assert parsed.err_value.field.startswith(field)
