"""A model of services that call each other, with the product's guards and admission."""

import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from jujubetiller import admission, calls, clock, codes, congestion, limits, settings

_Code = codes.ResultCode

HOP_MS = 1.5
TIMEOUT_MS = 1_500.0

OBJECTIVE_MS = 1_000.0
"""An answer after this time counts as not served."""


@attrs.frozen
class Kind:
    """A kind of call: where and how long it runs, and what it calls in sequence."""

    service: str
    run_ms: float
    calls: tuple[str, ...] = ()


@attrs.frozen
class Offer:
    """Client requests of one kind and team."""

    kind: str
    priority_class: int
    per_s: float
    team: str = ""


KINDS = {
    "view": Kind("board", 5.0, ("item",)),
    "page": Kind("office", 8.0, ("part",)),
    "part": Kind("board", 5.0, ("rows", "rows")),
    "rows": Kind("desk", 3.0, ("lookup",) * 4),
    "certificate": Kind("office", 10.0, ("lookup",) * 4),
    "claim": Kind("office", 12.0),
    "item": Kind("roster", 36.0),
    "lookup": Kind("roster", 22.0),
}

SLOTS = {"office": 60, "board": 60, "desk": 50, "roster": 7}
INSTANCES = 4

# Lookups of these use what the 28 slots of the roster give in a second.
USUAL_LOAD = (
    Offer("view", 0, 150.0),
    Offer("page", 1, 100.0),
    Offer("certificate", 2, 57.0),
    Offer("claim", 1, 60.0),
)


class Node:
    """The node beside one instance, which is also an entry node."""

    def __init__(self, site: "Site", service: str, by_cost: bool) -> None:
        self.site = site
        self.service = service
        self.guard = limits.build_guard(
            site.clock,
            settings.LimitSettings(
                policy="fixed",
                queue_order="arrival",
                slots=SLOTS[service],
                queue_length=1_000,
                queue_wait_ms=400,
                congested_wait_ms=250,
            ),
        )
        self.admission = (
            admission.NodeAdmission(site.clock, site.random, self.guard, service)
            if by_cost
            else None
        )
        self.delays = congestion.PeakDelay(site.clock)
        self.throttles = congestion.Throttles(site.clock, site.random)
        self.slowness = 1.0
        self.shed_share = 0.0

    def run(self, call: "Call") -> None:
        """Submit a call to the guard of the instance."""
        call.entry = limits.GuardEntry(
            rank=limits.compute_rank(call.priority_class, str(call.number)),
            depth=call.is_nested,
            deadline=calls.Deadline(call.deadline_ms - 25.0),
            start=functools.partial(self.start, call),
            refuse=functools.partial(self.end, call),
            kind=call.kind,
            team=call.team,
            is_nested=call.is_nested,
        )
        self.guard.submit(call.entry)

    def start(self, call: "Call") -> None:
        self.delays.record(call.entry.wait_ms)
        if self.site.random.random() < self.shed_share:
            self.site.later(1.0, functools.partial(self.finish, call, False))
            return
        kind = KINDS[call.kind]
        run_ms = kind.run_ms * self.slowness * self.site.random.uniform(0.6, 1.4)
        pauses = len(kind.calls) + 1
        self.next_step(call, list(kind.calls), run_ms / pauses)

    def next_step(self, call: "Call", left: list[str], pause_ms: float) -> None:
        def then() -> None:
            if not left:
                self.finish(call, True)
                return
            self.send_nested(call, left, pause_ms)

        self.site.later(pause_ms, then)

    def send_nested(self, call: "Call", left: list[str], pause_ms: float) -> None:
        kind = left.pop()
        if self.admission is not None:
            self.admission.estimator.record_call(kind)

        def answered(answer: calls.CallAnswer) -> None:
            self.delays.record(answer.queue_delay_ms)
            if self.admission is not None:
                self.admission.record_answer(kind, answer, True)
            if answer.status != 200:
                self.finish(call, True, status=500)
            else:
                self.next_step(call, left, pause_ms)

        nested = attrs.evolve(call, kind=kind, is_nested=True, answered=answered)
        self.site.send(nested)

    def finish(self, call: "Call", taken: bool, status: int = 200) -> None:
        call.entry.was_shed = not taken
        call.entry.has_failed = status >= 500
        self.guard.finished(call.entry, taken)
        self.end(call, _Code.ANSWERED if taken else _Code.TARGET_SHED, status)

    def end(self, call: "Call", code: _Code, status: int = 0) -> None:
        if code in limits.SHED_CODES:
            self.delays.record(max(call.entry.wait_ms, 100.0))
        answer = calls.CallAnswer(codes.describe(code).outcome, code)
        answer.status = status if code is _Code.ANSWERED else 503
        answer.queue_delay_ms = self.delays.read()
        if self.admission is not None and self.site.has_reports:
            self.admission.add_to_answer(call.kind, answer)
        self.site.later(HOP_MS, functools.partial(call.answered, answer))


@attrs.define
class Call:
    """A call for one instance."""

    number: int
    kind: str
    priority_class: int
    team: str
    deadline_ms: float
    answered: Callable[[calls.CallAnswer], None]
    is_nested: bool = False
    entry: limits.GuardEntry = attrs.field(init=False)


class Site:
    """All nodes, the clients, and the events to come."""

    def __init__(self, by_cost: bool, seed: int) -> None:
        self.clock = clock.ManualClock(1_000.0)
        self.random = random.Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.has_reports = True
        self.nodes = [
            Node(self, service, by_cost) for service in SLOTS for _ in range(INSTANCES)
        ]
        self.by_service = {
            service: [node for node in self.nodes if node.service == service]
            for service in SLOTS
        }
        self.offered: collections.Counter[tuple[str, str]] = collections.Counter()
        self.served: collections.Counter[tuple[str, str]] = collections.Counter()
        self.admitted: collections.Counter[tuple[str, str]] = collections.Counter()

    def later(self, after_ms: float, action: Callable[[], None]) -> None:
        event = (self.clock.now_ms() + after_ms, next(self.numbers), action)
        heapq.heappush(self.events, event)

    def send(self, call: Call) -> None:
        node = self.random.choice(self.by_service[KINDS[call.kind].service])
        self.later(HOP_MS, functools.partial(node.run, call))

    def play(self, seconds: float, offers: tuple[Offer, ...], factor: float) -> None:
        """Send the requests of ``offers``, ``factor`` times as many, and count anew."""
        for counter in (self.offered, self.served, self.admitted):
            counter.clear()
        end_ms = self.clock.now_ms() + seconds * 1_000.0
        for offer in offers:
            self._schedule(offer, offer.per_s * factor, end_ms)
        self._run_until(end_ms)

    def share(self, kind: str, team: str = "") -> float:
        """Return the served share of the offered requests."""
        return self.served[kind, team] / max(self.offered[kind, team], 1)

    def _schedule(self, offer: Offer, per_s: float, end_ms: float) -> None:
        after_ms = self.random.expovariate(per_s / 1_000.0)
        if self.clock.now_ms() + after_ms < end_ms:

            def arrive() -> None:
                self._arrive(offer)
                self._schedule(offer, per_s, end_ms)

            self.later(after_ms, arrive)

    def _run_until(self, end_ms: float) -> None:
        while self.events and self.events[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self.events)
            self.clock.advance(at_ms - self.clock.now_ms())
            action()
        self.clock.advance(max(0.0, end_ms - self.clock.now_ms()))

    def _arrive(self, offer: Offer) -> None:
        node = self.random.choice(self.nodes)
        key = (offer.kind, offer.team)
        sent_at_ms = self.clock.now_ms()
        throttle = node.throttles.find(offer.kind, offer.priority_class)
        decision = admission.Decision.UNKNOWN
        if node.admission is not None:
            decision = node.admission.entry.decide(
                offer.kind, offer.priority_class, offer.team
            )
        if decision is admission.Decision.REFUSE or (
            decision is admission.Decision.UNKNOWN and not throttle.admits()
        ):
            self.offered[key] += 1
            return

        def answered(answer: calls.CallAnswer) -> None:
            # Counted at its end, so that none under way counts as not served.
            self.offered[key] += 1
            self.admitted[key] += 1
            if node.admission is not None:
                node.admission.record_answer(offer.kind, answer, False)
            took_ms = self.clock.now_ms() - sent_at_ms
            succeeded = answer.status == 200 and took_ms <= OBJECTIVE_MS
            self.served[key] += succeeded
            failure = 0.0 if succeeded else 1.0
            throttle.record(failure, answer.queue_delay_ms)

        self.send(
            Call(
                number=next(self.numbers),
                kind=offer.kind,
                priority_class=offer.priority_class,
                team=offer.team,
                deadline_ms=sent_at_ms + TIMEOUT_MS,
                answered=answered,
            )
        )
