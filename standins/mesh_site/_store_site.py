"""The store over HTTP."""

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
    """A watch that waits for news."""

    uri: str
    reply: Callable[[edge.EdgeReply], None]
    timer: Any


class StoreSite(_stand_in_site.StandInSite):
    """Answers reads and holds watches until there is news.

    While ``down`` is set, every call is answered with 503.
    """

    def __init__(self, reactor: Any, published_store: store.PublishedStore) -> None:
        self.reactor = reactor
        self.store = published_store
        self.watches: set[_Watch] = set()
        self.down = False

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Answer a read at once and a watch when there is news."""
        if self.down:
            reply(edge.EdgeReply(503, [], b""))
            return edge.do_nothing
        answer = self.store.answer(message.path)
        if answer is not None:
            reply(edge.EdgeReply(answer[0], [_JSON], answer[1]))
            return edge.do_nothing
        query = dict(parse.parse_qsl(message.path.partition("?")[2]))
        watch = _Watch(message.path, reply, None)
        watch.timer = self.reactor.callLater(
            int(query["wait_ms"]) / 1000.0, self._end, watch
        )
        self.watches.add(watch)
        return lambda: self._forget(watch)

    def wake(self) -> None:
        """Answer the watches that have news."""
        for watch in tuple(self.watches):
            answer = self.store.answer(watch.uri)
            if answer is not None:
                self._forget(watch)
                watch.reply(edge.EdgeReply(answer[0], [_JSON], answer[1]))

    def _end(self, watch: _Watch) -> None:
        self.watches.discard(watch)
        body = json.dumps({"events": [], "as_of": self.store.revision}).encode()
        watch.reply(edge.EdgeReply(200, [_JSON], body))

    def _forget(self, watch: _Watch) -> None:
        self.watches.discard(watch)
        if watch.timer.active():
            watch.timer.cancel()
