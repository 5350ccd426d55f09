"""The open-loop load driver."""

import functools
import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from standins import client
from standins.load import _arrivals, _client_request, _kind_counters, _load_plan


class LoadDriver:
    """Sends requests of all kinds through all phases and waits for every answer."""

    def __init__(
        self, plan: _load_plan.LoadPlan, reactor: Any, finish: Callable[[], None]
    ) -> None:
        self.plan = plan
        self.reactor = reactor
        self.finish = finish
        self.generator = random.Random(plan.seed)
        self.client = client.Client(reactor)
        self.counters = {
            kind.name: _kind_counters.KindCounters() for kind in plan.kinds
        }
        self.requests: list[dict[str, Any]] = []
        self.arrivals: list[_arrivals.Arrivals] = []
        self.kinds_sending = len(plan.kinds)
        self.outstanding = 0
        self.number = 0
        self.started_at = 0.0

    def start(self) -> None:
        """Start the arrivals of every kind."""
        self.started_at = self.reactor.seconds()
        for kind in self.plan.kinds:
            arrivals = _arrivals.Arrivals(
                kind,
                self.plan.phases,
                self.reactor,
                random.Random(self.generator.random()),
                functools.partial(self.send, kind),
                self.finish_kind,
            )
            self.arrivals.append(arrivals)
            arrivals.start()

    def send(self, kind: _load_plan.LoadKind, arrived_at: float) -> None:
        """Send one request whose planned arrival is ``arrived_at``."""
        counters = self.counters[kind.name]
        arrival_bin = int((arrived_at - self.started_at) * 1000 // self.plan.bin_ms)
        if self.outstanding >= self.plan.max_outstanding:
            counters.count_end("not_sent", 0.0, arrival_bin)
            return
        self.outstanding += 1
        self.number += 1
        marker = f"{self.plan.name}-{self.number}"
        body = marker.encode().ljust(kind.body_bytes, b".")
        request = _client_request.ClientRequest(
            kind, self.plan, counters, marker, body, arrived_at, self.reactor
        )
        entries = [str(address) for address in self.plan.entries]
        self.generator.shuffle(entries)

        def ended(end: Any) -> None:
            self.outstanding -= 1
            if not isinstance(end, str):
                counters.faults[str(end.value)] += 1
                end = "error"
            took_ms = (self.reactor.seconds() - arrived_at) * 1000
            counters.count_end(end, took_ms, arrival_bin)
            if len(self.requests) < self.plan.report_markers:
                self.requests.append(
                    {
                        "marker": marker,
                        "kind": kind.name,
                        "end": end,
                        "attempts": request.attempts,
                        "arrived_ms": round((arrived_at - self.started_at) * 1000, 1),
                        "took_ms": round(took_ms, 2),
                    }
                )
            self.check_end()

        defer.Deferred.fromCoroutine(request.run(self.client, entries)).addBoth(ended)

    def finish_kind(self) -> None:
        """Handle the last arrival of a kind."""
        self.kinds_sending -= 1
        self.check_end()

    def check_end(self) -> None:
        """Finish once all requests were sent and have ended."""
        if not self.kinds_sending and not self.outstanding:
            self.finish()

    def summary(self) -> dict[str, Any]:
        """Return the counts of every kind."""
        return {
            "seconds": round(self.reactor.seconds() - self.started_at, 3),
            "bin_ms": self.plan.bin_ms,
            "most_behind_ms": round(
                max((arrivals.most_behind_ms for arrivals in self.arrivals), default=0),
                1,
            ),
            "kinds": {name: counts.summary() for name, counts in self.counters.items()},
            "requests": self.requests,
        }
