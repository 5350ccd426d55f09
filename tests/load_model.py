"""A small event-driven model of callers and targets for tests of placing and limits.

The routers, guards and policies are those of the product. The model adds run times,
the network and the times of arrivals.
"""

import heapq
import itertools
import random
from collections.abc import Callable

from jujubetiller import calls, clock, codes, limits, routing, settings

Answer = Callable[[codes.ResultCode], None]
ANSWERED = codes.ResultCode.ANSWERED
SHED = codes.ResultCode.TARGET_SHED


class Events:
    """A heap of events with a manual clock."""

    def __init__(self, seed: int) -> None:
        self.clock = clock.ManualClock()
        self.random = random.Random(seed)
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def after(self, delay_ms: float, event: Callable[[], None]) -> None:
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.heap, (at_ms, next(self.numbers), event))

    def run(self, until_ms: float) -> None:
        while self.heap and self.heap[0][0] <= until_ms:
            at_ms, _, event = heapq.heappop(self.heap)
            self.clock.advance(max(0.0, at_ms - self.clock.now_ms()))
            event()

    def arrive(self, rate_per_s: Callable[[float], float], event: Answer) -> None:
        """Call ``event`` at random times with a rate that depends on the time."""

        def arrival() -> None:
            event(ANSWERED)
            self.arrive(rate_per_s, event)

        rate = rate_per_s(self.clock.now_ms())
        self.after(self.random.expovariate(rate / 1_000.0), arrival)


class Target:
    """A target behind the product's guard."""

    def __init__(
        self,
        events: Events,
        slots: int,
        target_limit: str = "fixed",
        slowness: Callable[[float], float] = lambda now_ms: 1.0,
        contention: Callable[[int], float] = lambda in_flight: 1.0,
        fails: Callable[[float], float] = lambda now_ms: 0.0,
        expire_ms: float = 10.0,
    ) -> None:
        self.events = events
        self.slowness = slowness
        self.contention = contention
        self.fails = fails
        self.completed = 0
        self.guard = limits.build_guard(
            events.clock,
            settings.LimitSettings(slots=slots, policy="fixed"),
            settings.FeatureSettings(target_limit=target_limit),
        )
        self.expire_ms = expire_ms
        events.after(expire_ms, self.expire)

    def expire(self) -> None:
        self.guard.expire()
        self.events.after(self.expire_ms, self.expire)

    def submit(self, kind: str, work_ms: float, answer: Answer) -> None:
        """Run a call of ``work_ms`` at normal speed; 3% take seven times as long."""
        draw = self.events.random.random
        work_ms *= (0.5 + draw()) * (7.0 if draw() < 0.03 else 1.0)

        def start() -> None:
            now_ms = self.events.clock.now_ms()
            run_ms = work_ms * self.slowness(now_ms)
            has_failed = draw() < self.fails(now_ms)
            run_ms *= 0.05 if has_failed else self.contention(self.guard.in_flight)
            self.events.after(run_ms, lambda: end(has_failed))

        def end(has_failed: bool) -> None:
            self.completed += not has_failed
            self.guard.finished(entry, not has_failed)
            answer(SHED if has_failed else ANSWERED)

        deadline = calls.Deadline.after(self.events.clock, 1_000.0)
        entry = limits.GuardEntry(0, 0, deadline, start, answer, kind)
        self.guard.submit(entry)


class Fleet:
    """Callers and instances of one service in several zones."""

    def __init__(
        self,
        router_class: type[routing.Router],
        targets: dict[str, Target],
        events: Events,
        callers_per_zone: int,
        rate_per_s: Callable[[str, float], float],
        work_ms: float = 60.0,
        objective_ms: float = 250.0,
        is_cut: Callable[[str, str, float], bool] = lambda first, second, now_ms: False,
    ) -> None:
        self.events = events
        self.targets = targets
        self.work_ms = work_ms
        self.objective_ms = objective_ms
        self.is_cut = is_cut
        self.counted_from_ms = 0.0
        self.offered = self.in_time = self.other_zone = 0
        self.sent: dict[str, int] = dict.fromkeys(targets, 0)
        zones = sorted({name[0] for name in targets} | {"a"})
        instances = [
            routing.RoutableInstance(
                name,
                "ledger",
                name[0],
                "127.0.0.1",
                1,
                1,
                "b",
                slots=target.guard.slots,
            )
            for name, target in targets.items()
        ]
        self.routers = []
        for zone in zones:
            for _ in range(callers_per_zone):
                router = router_class(
                    events.clock,
                    random.Random(events.random.random()),
                    settings.RoutingSettings(),
                    zone,
                )
                router.update_instances(instances)
                self.routers.append(router)
                self.start_caller(router, zone, callers_per_zone, rate_per_s)

    def start_caller(
        self,
        router: routing.Router,
        zone: str,
        callers_per_zone: int,
        rate_per_s: Callable[[str, float], float],
    ) -> None:
        self.events.arrive(
            lambda now_ms: rate_per_s(zone, now_ms) / callers_per_zone,
            lambda code: self.begin(router, zone),
        )

    def begin(self, router: routing.Router, zone: str) -> None:
        is_counted = self.events.clock.now_ms() >= self.counted_from_ms
        self.offered += is_counted
        self.attempt(router, zone, (), self.events.clock.now_ms(), is_counted)

    def attempt(
        self,
        router: routing.Router,
        zone: str,
        tried: tuple[str, ...],
        begun_ms: float,
        is_counted: bool,
    ) -> None:
        chosen = router.choose("ledger", frozenset(tried))
        if len(tried) == 4 or not chosen.is_ok():
            return
        instance = chosen.unwrap()
        name = instance.instance
        router.record_sent(instance)
        sent_ms = self.events.clock.now_ms()
        self.sent[name] += is_counted
        self.other_zone += is_counted and instance.zone != zone
        hop_ms = 0.2 if instance.zone == zone else 1.4

        def answer(code: codes.ResultCode) -> None:
            reply = calls.make_refusal(code)
            if code is ANSWERED:
                reply = calls.CallAnswer(codes.Outcome.ANSWERED, code, status=200)
            report = limits.read_room(self.targets[name].guard)
            reply.room, reply.wait_ms = report.room, report.wait_ms
            self.events.after(hop_ms, lambda: receive(reply))

        def receive(reply: calls.CallAnswer) -> None:
            now_ms = self.events.clock.now_ms()
            router.record_answer(instance, reply, now_ms - sent_ms, "board")
            if reply.code is ANSWERED:
                in_time = now_ms - begun_ms <= self.objective_ms
                self.in_time += is_counted and in_time
            else:
                self.attempt(router, zone, (*tried, name), begun_ms, is_counted)

        def probe() -> None:
            if self.is_cut(zone, instance.zone, self.events.clock.now_ms()):
                self.events.after(500.0, probe)
            else:
                router.mark_reachable(instance)

        def arrive() -> None:
            if self.is_cut(zone, instance.zone, self.events.clock.now_ms()):
                lost = calls.make_refusal(codes.ResultCode.PEER_UNREACHABLE)
                self.events.after(50.0, lambda: receive(lost))
                router.mark_unreachable(instance)
                probe()
                return
            self.targets[name].submit("board", self.work_ms, answer)

        self.events.after(hop_ms, arrive)

    def measure(self, from_ms: float, until_ms: float) -> dict[str, float]:
        """Return the shares of the calls that begin between both times."""
        self.counted_from_ms = from_ms
        self.events.run(until_ms)
        mean = sum(self.sent.values()) / len(self.sent)
        return {
            "in_time": round(self.in_time / self.offered, 4),
            "other_zone": round(self.other_zone / self.offered, 4),
            "busiest": round(max(self.sent.values()) / mean, 2),
            "offered": self.offered,
        }
