"""The stand-in store as an HTTP service."""

import json
from collections.abc import Callable
from typing import Any
from urllib import parse

import attrs

from jujubetiller import edge
from standins import store
from standins.mesh_site import _stand_in_site

_JSON = ("Content-Type", "application/json")


@attrs.define(eq=False)
class _Watch:
    """A watch request that waits for new events."""

    uri: str
    reply: Callable[[edge.EdgeReply], None]
    timer: Any


class StoreSite(_stand_in_site.StandInSite):
    """Answers reads at once and keeps watches open until there are new events.

    While ``down`` is set, every request is answered with 503.
    """

    def __init__(self, reactor: Any, published_store: store.PublishedStore) -> None:
        self.reactor = reactor
        self.store = published_store
        self.watches: set[_Watch] = set()
        self.down = False
        self.calls = 0
        """Requests received so far."""

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Answer a read at once; answer a watch when there are events or time is up."""
        self.calls += 1
        if self.down:
            reply(edge.EdgeReply(503, self.store.headers(), b""))
            return edge.do_nothing
        answer = self.store.answer(message.path)
        if answer is not None:
            reply(self._make_reply(*answer))
            return edge.do_nothing
        query = dict(parse.parse_qsl(message.path.partition("?")[2]))
        watch = _Watch(message.path, reply, None)
        watch.timer = self.reactor.callLater(
            int(query["wait_ms"]) / 1000.0, self._expire, watch
        )
        self.watches.add(watch)
        return lambda: self._remove(watch)

    def notify_watches(self) -> None:
        """Answer the watches for which there are new events."""
        for watch in tuple(self.watches):
            answer = self.store.answer(watch.uri)
            if answer is not None:
                self._remove(watch)
                watch.reply(self._make_reply(*answer))

    def cut_watches(self) -> None:
        """Answer all waiting watches with 503."""
        for watch in tuple(self.watches):
            self._remove(watch)
            watch.reply(self._make_reply(503, b""))

    def _make_reply(self, status: int, body: bytes) -> edge.EdgeReply:
        return edge.EdgeReply(status, [_JSON, *self.store.headers()], body)

    def _expire(self, watch: _Watch) -> None:
        self.watches.discard(watch)
        body = json.dumps({"events": [], "as_of": self.store.revision}).encode()
        watch.reply(self._make_reply(200, body))

    def _remove(self, watch: _Watch) -> None:
        self.watches.discard(watch)
        if watch.timer.active():
            watch.timer.cancel()
