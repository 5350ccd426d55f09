"""The arrival process of one request kind."""

import random
from collections.abc import Callable
from typing import Any

from standins.load import _load_plan


class Arrivals:
    """Calls ``send`` at the times of a Poisson process, regardless of the answers.

    Arrivals that are late because the driver was busy are sent at once with their
    planned time, so that their latency includes the delay.
    """

    def __init__(
        self,
        kind: _load_plan.LoadKind,
        phases: tuple[_load_plan.LoadPhase, ...],
        reactor: Any,
        generator: random.Random,
        send: Callable[[float], None],
        finish: Callable[[], None],
    ) -> None:
        self.kind = kind
        self.reactor = reactor
        self.generator = generator
        self.send = send
        self.finish = finish
        self.next_at = reactor.seconds()
        self.most_behind_ms = 0.0
        self.ends: list[tuple[float, float]] = []
        end_at = self.next_at
        for phase in phases:
            end_at += phase.duration_ms / 1000
            self.ends.append((end_at, kind.rate * phase.factor))

    def advance(self) -> bool:
        """Move to the next arrival; return whether there is one."""
        while self.ends:
            end_at, rate = self.ends[0]
            if rate > 0:
                next_at = self.next_at + self.generator.expovariate(rate)
                if next_at < end_at:
                    self.next_at = next_at
                    return True
            self.next_at = end_at
            self.ends.pop(0)
        return False

    def start(self) -> None:
        """Schedule the first arrival."""
        self.schedule()

    def schedule(self) -> None:
        """Set a timer for the next arrival, or finish."""
        if self.advance():
            delay = max(0.0, self.next_at - self.reactor.seconds())
            self.reactor.callLater(delay, self.fire)
        else:
            self.finish()

    def fire(self) -> None:
        """Send all arrivals that are due."""
        now = self.reactor.seconds()
        self.most_behind_ms = max(self.most_behind_ms, (now - self.next_at) * 1000)
        while self.next_at <= now:
            self.send(self.next_at)
            if not self.advance():
                self.finish()
                return
        self.reactor.callLater(self.next_at - now, self.fire)
