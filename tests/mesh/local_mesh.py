"""A mesh node on a reactor that only the test advances, with a fake pool and target."""

import random
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import task

from jujubetiller import calls, codes, edge, mesh, platform, published, settings
from jujubetiller.mesh import _egress_site, _peer_calls, _state_message
from standins.mesh_site import documents
from tests import reactor_clock
from tests.node import local_node

Item = published.PublishedItem
OWN = "own-1"
FIRST, SECOND = "booth-1", "booth-2"
HOSTS = {OWN: "127.0.0.1", FIRST: "127.0.0.2", SECOND: "127.0.0.3"}
SERVICES = {OWN: "ledger", FIRST: "booth", SECOND: "booth"}
PEER_PORT = 7620
DEFAULT_FEATURES = settings.FeatureSettings()


class FixedSource(published.ItemSource):
    """A source whose state the test sets."""

    def __init__(self) -> None:
        self.age = 0.0
        self.recovered = -1e9

    def start(self) -> None:
        """Nothing is read."""

    def stop(self) -> None:
        """Nothing is read."""

    def age_ms(self) -> float:
        return self.age

    def recovered_at_ms(self) -> float:
        return self.recovered


class LocalMesh:
    """A node of the ledger that knows its own instance and two booths."""

    def __init__(self, features: settings.FeatureSettings = DEFAULT_FEATURES) -> None:
        self.reactor = task.Clock()
        self.reactor.advance(1_000.0)
        self.clock = reactor_clock.ReactorClock(self.reactor)
        self.source = FixedSource()
        self.node = mesh.MeshNode(
            self.reactor,
            self.clock,
            random.Random(5),
            attrs.evolve(
                platform.load_settings(documents.SETTINGS.encode()).unwrap(),
                features=features,
            ),
            platform.HEADERS,
            platform.PlatformDecoder(),
            lambda state: self.source,
        )
        self.parts = self.node.parts
        self.parts.state.is_compared = True
        self.pool, self.target = local_node.FakePool(), local_node.FakeTarget()
        self.parts.pool = self.pool  # type: ignore[assignment]
        self.parts.target = self.target  # type: ignore[assignment]
        self.parts.watch.target = self.target  # type: ignore[assignment]
        self.node.own_peer_address = lambda: settings.Address(  # type: ignore[method-assign]
            "127.0.0.1", PEER_PORT
        )
        self.node.exchange.own_address = self.node.own_peer_address
        self.node.state.observers.append(self.parts.configuration.apply)
        self.node.state.observers.append(self.node.apply_instances)
        self.revision = 0
        self.site = _egress_site.EgressSite(self.parts)
        self.peers = _peer_calls.PeerCalls(self.parts)
        self.peers.reading = self.node.reading
        self.peers.crash_exchange = self.node.crash_exchange
        self.replies: list[edge.EdgeReply] = []
        self.answers: list[calls.CallAnswer] = []
        self.publish("op/config", documents.encode(documents.CONFIGURATION))
        for name in HOSTS:
            self.list_instance(name)

    def publish(self, key: str, value: bytes | None) -> None:
        """Apply a changed item to the node's published state."""
        self.revision += 1
        revision = published.Revision(number=self.revision)
        items = (Item(key, revision, value),)
        self.node.state.apply(published.Changes(revision, items, False))

    def list_instance(self, name: str, **changes: Any) -> None:
        entry = {
            "service": SERVICES.get(name, "booth"),
            "address": f"{HOSTS.get(name, '127.0.0.9')}:8301",
            **changes,
        }
        self.publish(f"servers/{name}", documents.encode(documents.INSTANCE, **entry))

    def remove_instance(self, name: str) -> None:
        self.publish(f"servers/{name}", None)

    def confirm_removals(self) -> None:
        """Receive the statement of a reader that all removals so far are final."""
        revision = self.node.state.revision
        nothing = published.Changes(revision, (), False)
        self.node.exchange.merge.apply(_state_message.StateAnswer(nothing, revision))

    def send_request(
        self,
        path: str = "/book/1",
        host: str = "a.example",
        authorization: str = "",
        **control: str,
    ) -> Callable[[], None]:
        """Send a client's request; return the function that cancels it."""
        named = {"jujubetiller-request-id": "r1"}
        named |= {f"jujubetiller-{k.replace('_', '-')}": v for k, v in control.items()}
        headers: tuple[tuple[str, str], ...] = (("host", host), ("accept", "*/*"))
        if authorization:
            headers = (*headers, ("authorization", authorization))
        message = edge.EdgeMessage("POST", path, headers, named, b"body")
        return self.site.handle(message, self.replies.append)

    def receive_call(self, **changes: Any) -> Callable[[], None]:
        """Receive a call from a peer; return the function that cancels it."""
        request = calls.CallRequest(
            service="ledger",
            method="GET",
            path="/read/1",
            kind="read",
            priority_class=2,
            rank=256,
            idempotent=True,
            deadline_left_ms=500.0,
            headers=(("jujubetiller-request-id", "r1"),),
            expected_instance=OWN,
        )
        request = attrs.evolve(request, **changes)
        return self.peers.handle_call(request, self.answers.append)

    def answer_call(
        self, code: codes.ResultCode = codes.ResultCode.ANSWERED, status: int = 200
    ) -> None:
        """Answer the latest call that was sent to a peer."""
        answer = calls.make_refusal(code)
        answer.status = status
        answer.headers = (("jujubetiller-server-stamp", "s"),)
        answer.body = b"done"
        self.pool.calls[-1].reply(answer)

    def outstanding(self) -> int:
        pools = self.parts.router.pools.values()
        return sum(stats.outstanding for pool in pools for stats in pool.stats.values())
