"""Guards against requests that run with keys that are unknown or may be revoked."""

import gc
import io
import json
import weakref
from collections.abc import Callable
from typing import Any

import attrs
import logbook
import pytest

from jujubetiller import calls, clock, codes, edge
from jujubetiller.mesh import (
    _entry_checks,
    _entry_request,
    _entry_run,
    _key_check,
    _pending_verdict,
    _request,
)
from standins.mesh_site import documents
from tests.mesh import local_mesh

_Code = codes.ResultCode

KEY, OTHER_KEY, OLD_KEY = "key-of-kitchen", "key-of-cellar", "key-that-was-revoked"
TEAMS = [
    {"name": "kitchen", "api_keys": [KEY, OLD_KEY], "priority": 0},
    {"name": "cellar", "api_keys": [OTHER_KEY], "priority": 3},
]
YOUNG_MS, BOUND_MS = 1_000.0, 4_750.0
CONFIGURATION_MS = 2_000.0
KNOWN_MS = 0.98 * CONFIGURATION_MS
"""The clock of the store may run 2% faster than that of the node."""


class KeyMesh(local_mesh.LocalMesh):
    """A node whose configuration has teams, with a boot clock of its own."""

    def __init__(self, is_strict: bool = True, has_teams: bool = True) -> None:
        super().__init__()
        self.boot_clock = clock.ManualClock(1e6)
        self.parts.state_age.clock = self.boot_clock
        self.parts.keys.settings = attrs.evolve(
            self.parts.keys.settings, has_strict_revocation=is_strict
        )
        self.set_age(YOUNG_MS)
        if has_teams:
            self.publish_teams(13, TEAMS)

    def publish_teams(self, version: int, rows: Any) -> None:
        listeners: Any = json.loads(json.dumps(documents.CONFIGURATION["listeners"]))
        listeners[0]["rules"][0]["public"] = True
        value = documents.encode(
            documents.CONFIGURATION,
            version=f"{version:08x}",
            tenants=rows,
            listeners=listeners,
        )
        self.publish("op/config", value)

    def set_age(self, age_ms: float) -> None:
        """Set the age of what the node knows of the store."""
        self.parts.state_age.known_as_of_ms = self.boot_clock.now_ms() - age_ms

    def ask(
        self,
        *authorization: str,
        path: str = "/book/1",
        name: str = "authorization",
        **control: str,
    ) -> Callable[[], None]:
        """Send a request with authorization headers."""
        named = {f"jujubetiller-{key}": value for key, value in control.items()}
        headers = (("host", "a.example"), *((name, each) for each in authorization))
        named["jujubetiller-request-id"] = "r1"
        message = edge.EdgeMessage("POST", path, headers, named, b"body")
        return self.site.handle(message, self.replies.append)

    def last_code(self) -> int:
        return int(dict(self.replies[-1].headers)["Jujubetiller-Code"])

    def sent(self) -> list[calls.CallRequest]:
        return [call.request for call in self.pool.calls if call.request.service]


def bearer(key: str) -> str:
    return f"Bearer {key}"


@pytest.mark.parametrize(
    "header", ["Bearer {}", "bearer {}", "BEARER   {}", " Bearer {} "]
)
def test_a_request_with_a_key_is_sent_with_its_team(header: str) -> None:
    world = KeyMesh()
    world.ask(header.format(KEY))
    (request,) = world.sent()
    assert request.team == "kitchen"
    assert request.start_within_ms == BOUND_MS - YOUNG_MS


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [""],
        ["Bearer"],
        ["Bearer "],
        [f"Basic {KEY}"],
        [KEY],
        ["Bearer unknown"],
        [f"Bearer {KEY} more"],
        [f"Bearer {KEY}", f"Bearer {OTHER_KEY}"],
    ],
)
@pytest.mark.parametrize(
    ("age_ms", "code", "status"),
    [
        (KNOWN_MS, _Code.UNKNOWN_API_KEY, 401),
        (KNOWN_MS + 1, _Code.KEYS_NOT_CURRENT, 503),
        (float("inf"), _Code.KEYS_NOT_CURRENT, 503),
    ],
)
def test_an_unknown_key_is_denied_only_by_a_node_that_knows_all_keys(
    headers: list[str], age_ms: float, code: codes.ResultCode, status: int
) -> None:
    world = KeyMesh()
    world.set_age(age_ms)
    world.ask(*headers)
    assert (world.replies[-1].status, world.last_code()) == (status, code.value)
    headers_sent = dict(world.replies[-1].headers)
    assert ("Retry-After" in headers_sent) == (status == 503)
    assert ("WWW-Authenticate" in headers_sent) == (status == 401)
    assert world.sent() == []


def test_a_node_without_a_configuration_denies_nobody() -> None:
    world = KeyMesh()
    world.parts.configuration.current = None
    world.ask("Bearer unknown")
    assert world.last_code() == _Code.NOT_READY.value


@pytest.mark.parametrize(
    ("age_ms", "is_sent"),
    [(BOUND_MS - 1, True), (BOUND_MS, False), (float("inf"), False)],
)
def test_a_known_key_is_accepted_only_while_it_can_not_be_revoked(
    age_ms: float, is_sent: bool
) -> None:
    """Guards against a node that is cut off, or has just started."""
    world = KeyMesh()
    world.set_age(age_ms)
    world.ask(bearer(KEY))
    assert len(world.sent()) == is_sent
    if not is_sent:
        assert world.replies[-1].status == 503
        assert world.last_code() == _Code.KEYS_NOT_CURRENT.value


def test_public_routes_are_served_whatever_the_age() -> None:
    world = KeyMesh()
    world.set_age(float("inf"))
    world.ask("Bearer unknown", path="/read/1")
    started = [*world.sent(), *world.target.requests]
    assert len(started) == 1


def test_without_strict_revocation_a_known_key_is_accepted_at_any_age() -> None:
    world = KeyMesh(is_strict=False)
    world.set_age(60_000.0)
    world.ask(bearer(KEY))
    assert world.sent()[0].start_within_ms is None


def test_a_node_that_wakes_refuses_although_its_cached_clock_stands() -> None:
    world = KeyMesh()
    world.boot_clock.advance(20_000.0)
    world.ask(bearer(KEY))
    assert world.last_code() == _Code.KEYS_NOT_CURRENT.value


def test_a_retry_is_not_sent_after_the_key_was_revoked() -> None:
    world = KeyMesh()
    world.ask(bearer(OLD_KEY))
    world.publish_teams(14, [{"name": "kitchen", "api_keys": [KEY]}])
    world.answer_call(_Code.DRAINING)
    assert len(world.sent()) == 1
    assert world.last_code() == _Code.UNKNOWN_API_KEY.value


def test_a_retry_is_not_sent_after_the_keys_became_old() -> None:
    world = KeyMesh()
    world.ask(bearer(KEY))
    world.boot_clock.advance(BOUND_MS)
    world.answer_call(_Code.DRAINING)
    assert len(world.sent()) == 1
    assert world.last_code() == _Code.KEYS_NOT_CURRENT.value


@pytest.mark.parametrize("waited_ms", [999.0, 1_000.0, 60_000.0])
def test_a_call_that_waits_too_long_beside_its_target_does_not_start(
    waited_ms: float,
) -> None:
    """Guards against revoked keys that run after a wait in the queue, or a freeze."""
    world = KeyMesh()
    world.parts.guard.set_slots(1)
    world.receive_call()
    world.receive_call(team="kitchen", start_within_ms=1_000.0)
    assert len(world.target.requests) == 1
    world.boot_clock.advance(waited_ms)
    world.parts.guard.set_slots(2)
    is_started = waited_ms < 1_000.0
    assert len(world.target.requests) == 1 + is_started
    if not is_started:
        assert world.answers[-1].code is _Code.KEYS_NOT_CURRENT
        assert world.parts.guard.in_flight == 1


def test_a_call_whose_time_is_over_is_refused_at_once_and_sent_elsewhere() -> None:
    world = KeyMesh()
    world.receive_call(team="kitchen", start_within_ms=0.0)
    assert world.target.requests == []
    world.ask(bearer(KEY))
    world.answer_call(_Code.KEYS_NOT_CURRENT)
    assert len(world.sent()) == 2


def test_targets_get_the_team_from_the_node_and_no_key() -> None:
    """Guards against clients that name a team themselves, and keys that leave."""
    world = KeyMesh()
    world.ask(bearer(KEY), name="Authorization", tenant="cellar")
    (sent,) = world.sent()
    assert KEY not in repr(sent.headers)
    assert "cellar" not in repr(sent.headers)
    world.receive_call(headers=sent.headers, team=sent.team)
    headers = world.target.requests[-1].request.headers
    assert [v for k, v in headers if k == "jujubetiller-tenant"] == ["kitchen"]
    world.receive_call()
    headers = world.target.requests[-1].request.headers
    assert not [v for k, v in headers if k == "jujubetiller-tenant"]


def test_a_public_route_drops_both_headers_too() -> None:
    world = KeyMesh()
    world.ask(bearer(KEY), path="/read/1", tenant="cellar")
    forwarded = [request.headers for request in world.sent()]
    forwarded += [each.request.headers for each in world.target.requests]
    assert len(forwarded) == 1
    assert KEY not in repr(forwarded)
    assert "tenant" not in repr(forwarded)


def test_without_teams_the_header_is_forwarded_as_any_other() -> None:
    world = KeyMesh(has_teams=False)
    world.set_age(float("inf"))
    world.ask(bearer(KEY))
    (sent,) = world.sent()
    assert ("authorization", bearer(KEY)) in sent.headers
    assert (sent.team, sent.start_within_ms) == ("", None)


@pytest.mark.parametrize(
    ("key", "team_class"), [(KEY, 0), (OTHER_KEY, 3)], ids=["kitchen", "cellar"]
)
def test_the_class_of_the_team_goes_before_that_of_the_route(
    key: str, team_class: int
) -> None:
    world = KeyMesh()
    world.ask(bearer(key))
    (sent,) = world.sent()
    assert sent.priority_class == 1_024 * team_class
    assert sent.rank // 128 == sent.priority_class


def test_with_teams_waiting_calls_start_by_their_class() -> None:
    world = KeyMesh()
    world.parts.guard.set_slots(1)
    world.receive_call()
    for number, rank in enumerate((3_072 * 128, 2 * 128, 3_072 * 128, 0)):
        world.receive_call(path=f"/{number}", rank=rank)
    world.parts.guard.set_slots(5)
    paths = [each.request.path for each in world.target.requests[1:]]
    assert paths == ["/3", "/1", "/0", "/2"]
    world.publish_teams(14, None)
    world.parts.guard.set_slots(1)
    for number, rank in enumerate((3_072 * 128, 0)):
        world.receive_call(path=f"/late/{number}", rank=rank)
    world.parts.guard.set_slots(9)
    assert [each.request.path for each in world.target.requests[5:]] == [
        "/late/0",
        "/late/1",
    ]


def test_no_key_is_logged_or_counted() -> None:
    world = KeyMesh()
    with logbook.TestHandler(level=logbook.DEBUG) as handler:
        world.ask(bearer("a-wrong-key"))
        world.set_age(BOUND_MS)
        world.ask(bearer(KEY))
        world.set_age(0.0)
        world.parts.keys.log_age_change(world.parts.configuration.current)
        world.publish_teams(14, [{"name": "kitchen", "api_keys": [OTHER_KEY]}])
    lines = [record.message for record in handler.records]
    assert "API keys refused: the node's copy of the store is too old" in lines
    assert "API keys accepted again" in lines
    assert "keys of teams changed" in lines
    text = repr([(record.message, record.extra) for record in handler.records])
    text += world.parts.metrics.render().decode()
    for key in (KEY, OTHER_KEY, OLD_KEY, "a-wrong-key"):
        assert key not in text
    assert 'event="unknown_key"' in text


def test_a_check_may_answer_later() -> None:
    """Guards against requests that run twice, or after their client has left."""
    refused_late = _entry_request.EntryRefusal(_Code.NOT_READY)
    cases = (
        (None, False, False),
        (None, True, False),
        (refused_late, False, False),
        (None, False, True),
        (refused_late, False, True),
    )
    for refusal, is_cancelled, is_early in cases:
        world = KeyMesh()
        later = _pending_verdict.PendingVerdict()
        checks = (*_entry_checks.CHECKS, lambda parts, entry, later=later: later)
        admitted: list[Any] = []
        refused: list[Any] = []
        message = edge.EdgeMessage(
            "POST",
            "/book/1",
            (("host", "a.example"), ("authorization", bearer(KEY))),
            {},
            b"",
        )
        run = _entry_run.EntryRun(
            world.parts,
            _entry_request.EntryRequest(message),
            lambda entry, admitted=admitted: admitted.append(entry) or edge.do_nothing,
            refused.append,
            checks,
        )
        if is_early:
            later.resolve(refusal)
        run.advance()
        assert bool(admitted or refused) == is_early
        if is_cancelled:
            run.cancel()
        later.resolve(refusal)
        later.resolve(refusal)
        assert len(admitted) == (refusal is None and not is_cancelled)
        assert len(refused) == (refusal is not None)
        # What cancels a request may be kept for long after its body is not counted.
        assert run.entry is None


def test_an_age_that_is_not_known_is_valid_in_logs() -> None:
    document = json.dumps({"age_ms": _key_check.describe_age(float("inf"))})
    assert json.load(io.StringIO(document)) == {"age_ms": None}


@pytest.mark.parametrize("key", [KEY, "unknown"])
def test_a_request_that_ended_leaves_no_reference_cycle(key: str) -> None:
    """Guards against requests that stay in memory until the next collection."""
    world = KeyMesh()

    class Request:
        cancel: Callable[[], None] | None = None

        def send(self, answer: edge.EdgeReply) -> None:
            self.cancel = None

    def handle() -> weakref.ref[Request]:
        request = Request()
        headers = (("host", "a.example"), ("authorization", bearer(key)))
        message = edge.EdgeMessage("POST", "/book/1", headers, {}, b"")
        request.cancel = world.site.handle(message, request.send)
        return weakref.ref(request)

    gc.disable()
    try:
        reference = handle()
        if key == KEY:
            world.answer_call()
            world.pool.calls.clear()
        assert reference() is None
    finally:
        gc.enable()


def test_a_call_without_a_team_does_not_go_before_clients_of_any_team() -> None:
    """Calls of targets on less important routes would fill the queues of services."""
    mesh = KeyMesh()
    configuration = mesh.parts.configuration.current
    assert configuration is not None
    important = attrs.evolve(configuration.routes[0], priority_class=0)
    lookup = attrs.evolve(configuration.routes[0], priority_class=1)
    teams_in_force = configuration.team_table.by_name.values()
    assert len({team.priority_class for team in teams_in_force}) > 1
    without_team = _request.find_priority_class(mesh.parts, lookup, None)
    for team in teams_in_force:
        with_team = _request.find_priority_class(mesh.parts, important, team)
        assert with_team < without_team
