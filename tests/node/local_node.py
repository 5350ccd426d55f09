"""The components of a node on a reactor that only the test advances."""

import json
import random
from collections.abc import Callable
from typing import Any

import attrs
import result
from twisted.internet import task

from jujubetiller import (
    calls,
    codes,
    crashes,
    edge,
    membership,
    records,
    routing,
    settings,
    streams,
    target,
    tickets,
)
from jujubetiller.node import (
    _build_parts,
    _edge_site,
    _peer_messages,
    _service_peers,
    _service_site,
)
from tests import reactor_clock
from tests.settings import documents

OWN = routing.RoutableInstance(
    "ledger-1", "ledger", "puchong", "127.0.0.1", 1, 1, "own"
)
PEER = routing.RoutableInstance("booth-1", "booth", "puchong", "127.0.0.1", 2, 1, "b1")
OTHER = routing.RoutableInstance("booth-2", "booth", "puchong", "127.0.0.1", 3, 1, "b2")
KINDS = {
    "deposit": ("ledger", "POST", "/deposits", False),
    "refund": ("ledger", "POST", "/refunds", False),
    "balance": ("ledger", "GET", "/balance", True),
    "book": ("booth", "POST", "/bookings", False),
    "slots": ("booth", "GET", "/slots", True),
}
HOP = records.HopRecord("booth-1", "booth", "target", 0, *[0] * 7)
PRIORITY_CLASS = 1


@attrs.define
class SentCall:
    """A call that the pool has to send."""

    address: settings.Address
    request: calls.CallRequest
    """A copy made when the call was sent."""

    reply: Callable[[calls.CallAnswer], None]
    cancelled: int = 0

    def cancel(self) -> None:
        self.cancelled += 1


@attrs.define
class FakePool:
    """A stream pool that records what is sent; the test provides the answers."""

    identities: dict[settings.Address, streams.PeerIdentity] = attrs.field(factory=dict)
    calls: list[SentCall] = attrs.field(factory=list)
    seals: list[tuple[str, Callable[[bool], None]]] = attrs.field(factory=list)
    connects: list[Callable[[streams.PeerIdentity | None], None]] = attrs.field(
        factory=list
    )

    connect_timeouts_ms: list[float] = attrs.field(factory=list)

    def send_call(self, address: Any, request: Any, deadline: Any, reply: Any) -> Any:
        self.calls.append(SentCall(address, attrs.evolve(request), reply))
        return self.calls[-1]

    def send_seal(self, address: Any, key: str, timeout_ms: Any, reply: Any) -> None:
        self.seals.append((key, reply))

    def connect(self, address: Any, timeout_ms: float, on_result: Any) -> None:
        self.connects.append(on_result)
        self.connect_timeouts_ms.append(timeout_ms)

    def identity_of(self, address: settings.Address) -> streams.PeerIdentity | None:
        return self.identities.get(address)


@attrs.define
class SentRequest:
    """A request at the target; the test calls ``answer`` to end it."""

    request: target.TargetRequest
    on_end: Callable[[target.TargetResponse], None]
    cancelled: int = 0

    def cancel(self) -> None:
        self.cancelled += 1

    def answer(self, status: int = 200, *headers: tuple[str, str]) -> None:
        self.on_end(
            target.TargetResponse(codes.ResultCode.ANSWERED, status, headers, b"done")
        )


class FakeTarget:
    """A target client that records the requests."""

    def __init__(self) -> None:
        self.requests: list[SentRequest] = []
        self.probe_result = target.ProbeResult.LISTENS
        self.probes: list[Callable[[target.ProbeResult], None]] = []
        """Probes that the test ends, unless ``probe_result`` ends them at once."""

        self.ends_probes = True

    def send(self, request: Any, on_end: Any) -> SentRequest:
        self.requests.append(SentRequest(request, on_end))
        return self.requests[-1]

    def probe(self, on_end: Callable[[target.ProbeResult], None]) -> None:
        """End the probe with ``probe_result``, at once or when the test does it."""
        if self.ends_probes:
            on_end(self.probe_result)
        else:
            self.probes.append(on_end)

    def close(self) -> None:
        """Do nothing, because there are no connections."""

    def fail_calls(self) -> None:
        """End the calls that have no response."""
        for request in self.requests:
            request.on_end(target.TargetResponse(codes.ResultCode.TARGET_CLOSED_EARLY))


class LocalNode:
    """A ready node of the service ledger that knows two instances of booth."""

    def __init__(self, retry_tokens: int = 4) -> None:
        self.reactor = task.Clock()
        self.reactor.advance(1.0)
        time_source = reactor_clock.ReactorClock(self.reactor)
        loaded = settings.load_settings(json.dumps(documents.VALID))
        assert isinstance(loaded, result.Ok)
        self.parts = _build_parts.build_parts(
            self.reactor, time_source, time_source, random.Random(5), loaded.ok_value
        )
        self.pool, self.target = FakePool(), FakeTarget()
        self.parts.pool = self.pool  # type: ignore[assignment]
        self.parts.target = self.target  # type: ignore[assignment]
        self.parts.watch.target = self.target  # type: ignore[assignment]
        self.parts.state.ready = True
        own = attrs.evolve(OWN, boot_id=self.parts.state.boot_id)
        self.parts.router.update_instances((own, PEER, OTHER))
        for peer in (PEER, OTHER):
            self.pool.identities[peer.address] = make_identity(peer)
        self.merge_kinds(retry_tokens)
        self.edge = _edge_site.EdgeSite(self.parts)
        self.service = _service_site.ServiceSite(self.parts)
        self.peers = _peer_messages.PeerMessages(self.parts)
        table = membership.MembershipTable(time_source, self.parts.settings.control)
        self.peers.crash_exchange = crashes.CrashExchange(
            self.reactor,
            time_source,
            self.parts.random,
            self.parts.settings.crashes,
            self.parts.containment,
            _service_peers.ServicePeers(self.parts, table),
        )
        self.replies: list[edge.EdgeReply] = []
        self.answers: list[calls.CallAnswer] = []

    def merge_kinds(self, retry_tokens: int) -> None:
        objects: dict[str, Any] = {
            f"service/{name}": {"slots": 10} for name in ("ledger", "booth")
        }
        for name, (service, method, prefix, idempotent) in KINDS.items():
            objects[f"request_kind/{name}"] = {
                "service": service,
                "method": method,
                "path_prefix": prefix,
                "priority_class": PRIORITY_CLASS,
                "idempotent": idempotent,
                "deadline_ms": 2_000,
                "retry_tokens": retry_tokens,
            }
        ticket = tickets.parse_ticket({"number": 1, "author": "o", "objects": objects})
        assert isinstance(ticket, result.Ok), ticket
        self.parts.tickets.merge(ticket.ok_value)

    def mint(self, kind: str, owner: routing.RoutableInstance = PEER) -> str:
        boot_id = owner.boot_id
        if owner is OWN:
            boot_id = self.parts.state.boot_id
        return self.parts.key_signer.mint(
            self.parts.random, KINDS[kind][0], kind, owner.instance, boot_id, 1
        )[0]

    def send_request(self, site: Any, kind: str, **control: str) -> Callable[[], None]:
        """Send an HTTP request of ``kind`` and return the function that cancels it."""
        service, method, prefix, _ = KINDS[kind]
        named = {
            f"jujubetiller-{name.replace('_', '-')}": value
            for name, value in control.items()
        }
        message = edge.EdgeMessage(method, f"/{service}{prefix}", (), named, b"")
        cancel: Callable[[], None] = site.handle(message, self.replies.append)
        return cancel

    def receive_call(
        self, kind: str, key: str = "", tokens: int = 4, **changes: Any
    ) -> Callable[[], None]:
        """Receive a call from a peer and return the function that cancels it."""
        service, method, prefix, idempotent = KINDS[kind]
        request = calls.CallRequest(
            service=service,
            method=method,
            path=prefix,
            kind=kind,
            priority_class=PRIORITY_CLASS,
            rank=PRIORITY_CLASS * 128 + 7,
            idempotent=idempotent,
            deadline_left_ms=500.0,
            retry_tokens=tokens,
            tree_id="tree",
            depth=3,
            attempt=1,
            key=key,
        )
        return self.peers.handle_call(
            attrs.evolve(request, **changes), self.answers.append
        )

    def run_deposit(self) -> str:
        """Start a deposit at the target and return its context id."""
        self.receive_call("deposit", self.mint("deposit", OWN))
        return self.control(self.target.requests[-1], "jujubetiller-context")

    def control(self, sent: SentRequest, name: str) -> str:
        return dict(sent.request.headers)[name]

    def outstanding(self) -> int:
        pools = self.parts.router.pools.values()
        return sum(stats.outstanding for pool in pools for stats in pool.stats.values())


def make_identity(peer: routing.RoutableInstance) -> streams.PeerIdentity:
    return streams.PeerIdentity(
        instance=peer.instance,
        service=peer.service,
        zone=peer.zone,
        host=peer.host,
        peer_port=peer.peer_port,
        incarnation=peer.incarnation,
        boot_id=peer.boot_id,
        key_epoch=1,
        draining=False,
        state_digest=b"",
    )


def make_answer(
    code: codes.ResultCode = codes.ResultCode.ANSWERED,
    from_peer: bool = True,
    tokens_returned: int = 0,
) -> calls.CallAnswer:
    """Return an answer, with a hop record of the peer if ``from_peer``."""
    answer = calls.make_refusal(code, (HOP,) * from_peer, tokens_returned)
    answer.status = 200 * (code is codes.ResultCode.ANSWERED)
    return answer


def headers(reply: edge.EdgeReply) -> dict[str, str]:
    return dict(reply.headers)
