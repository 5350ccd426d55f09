"""The nodes' interface of the configuration service."""

from typing import Any

from twisted.protocols import policies
from twisted.web import http as web_http, server

from standins import http
from standins.platform import _faults, _read_rate, _value_store

VALUES = "/v1/values/"
WATCH = "/v1/watch/"


class ValueSite(http.Handler):
    """Answers reads and watches, subject to the injected fault."""

    def __init__(
        self, store: _value_store.ValueStore, rate: _read_rate.ReadRate, reactor: Any
    ) -> None:
        super().__init__()
        self.store = store
        self.rate = rate
        self.reactor = reactor
        self.faults = _faults.Faults()
        self.reads = 0
        self.watches = 0
        self.waiting = 0

    def handle(self, request: server.Request) -> None:
        """Count the request, then answer it or keep it open as a watch."""
        path = request.path.decode()
        if request.method != b"GET" or not path.startswith((VALUES, WATCH)):
            http.answer_json(request, 404, {"error": "no such path"})
            return
        if not self.rate.acquire():
            http.answer_json(request, 429, {"error": "over the read rate"})
            return
        if path.startswith(VALUES):
            self.reads += 1
            self.answer(request, path.removeprefix(VALUES))
        else:
            self.watches += 1
            self.watch(request, path.removeprefix(WATCH))

    def read(self, key: str) -> _value_store.StoredValue | None:
        """Return the version of ``key`` to serve under the injected fault."""
        older = self.faults.mode == "older"
        return self.store.get(key, self.faults.steps_back if older else 0)

    def send(self, request: server.Request, status: int, document: Any) -> None:
        """Answer at once, with a delay or not at all, according to the fault."""
        if self.faults.mode == "silent":
            return
        if self.faults.mode == "slow":
            self.reactor.callLater(
                self.faults.delay_ms / 1000, http.answer_json, request, status, document
            )
            return
        http.answer_json(request, status, document)

    def answer(self, request: server.Request, key: str) -> None:
        """Answer with the value of ``key``, or with 404."""
        stored = self.read(key)
        if stored is None:
            self.send(request, web_http.NOT_FOUND, {"error": f"no key {key!r}"})
            return
        self.send(
            request,
            web_http.OK,
            {
                "key": key,
                "version": stored.version,
                "value": stored.value,
                "epoch": self.store.epoch,
            },
        )

    def watch(self, request: server.Request, key: str) -> None:
        """Answer once ``key`` is newer than version ``after``, or after ``wait_ms``."""
        after = int(http.read_argument(request, "after", "0"))
        epoch = int(http.read_argument(request, "epoch", "0"))
        wait_ms = float(http.read_argument(request, "wait_ms", "1500"))
        stored = self.read(key)
        if stored is None or (self.store.epoch, stored.version) > (epoch, after):
            self.answer(request, key)
            return
        self.waiting += 1

        def end() -> None:
            self.waiting -= 1
            self.store.listeners[key].discard(changed)
            if timer.active():
                timer.cancel()

        def changed() -> None:
            newest = self.read(key)
            if newest is None:
                return
            if (self.store.epoch, newest.version) > (epoch, after):
                end()
                self.answer(request, key)

        def expired() -> None:
            end()
            # With the fault "older", the old version is returned only when the wait
            # ends: returned at once, it would make every watcher poll in a busy loop.
            if self.faults.mode == "older":
                self.answer(request, key)
            else:
                self.send(request, web_http.NO_CONTENT, None)

        def disconnected(reason: object) -> None:
            if timer.active():
                end()

        self.store.listeners.setdefault(key, set()).add(changed)
        timer = self.reactor.callLater(wait_ms / 1000, expired)
        request.notifyFinish().addErrback(disconnected)

    def set_faults(self, faults: _faults.Faults) -> None:
        """Replace the injected fault."""
        self.faults = faults
        self.store.freeze(faults.mode == "stale")

    def counters(self) -> dict[str, int]:
        """Return the counters of reads and watches."""
        return {
            "reads": self.reads,
            "watches": self.watches,
            "waiting": self.waiting,
            "refused": self.rate.refused,
            "highest_rate": self.rate.highest,
        }


class ValueFactory(policies.WrappingFactory):
    """Accepts connections, or closes them at once while the fault ``down`` is set."""

    def __init__(self, site: ValueSite) -> None:
        super().__init__(server.Site(site))  # type: ignore[no-untyped-call]
        self.site = site

    def buildProtocol(self, addr: Any) -> Any:
        """Return a protocol, or None to close the connection at once."""
        return None if self.site.faults.mode == "down" else super().buildProtocol(addr)

    def abort_all(self) -> None:
        """Reset every open connection."""
        for protocol in list(self.protocols):
            protocol.transport.abortConnection()


def make_value_factory(site: ValueSite) -> ValueFactory:
    """Return the factory for the port that nodes connect to."""
    return ValueFactory(site)
