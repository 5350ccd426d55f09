"""Tokens from the coordinators of other zones."""

import functools
import math
import random
from collections.abc import Callable, Mapping

import attrs

from jujubetiller.quotas import (
    _coordinator,
    _coordinator_choice,
    _messages,
    _node_quota,
    _quota_counters,
    _team_limit,
    _transport,
)

ZONES_ASKED = (3, 8)
"""Zones asked at first, and then for what these did not have."""

PASS_MS = 30.0
"""Time for the answers to each of the two passes; requests wait for 100 ms at most."""

QUIET_MS = 50.0
"""Pause after other zones had nothing to lend of a team's tokens."""

Asker = Callable[
    [
        str,
        tuple[_messages.Demand, ...],
        Callable[[_messages.Answer | None, float], None],
    ],
    None,
]
"""Sends a question to the host; called back with the answer and when it was sent."""


@attrs.define
class _Pass:
    """The questions of one pass that are not answered yet."""

    unanswered: set[str]
    done: Callable[[], None] | None


class Borrowing:
    """Asks other zones for what a coordinator lacks, and adds what they grant."""

    def __init__(
        self,
        random_source: random.Random,
        coordinator: _coordinator.Coordinator,
        node: _node_quota.NodeQuota,
        choice: _coordinator_choice.CoordinatorChoice,
        zone: str,
        transport: _transport.Transport,
        ask: Asker,
        counters: _quota_counters.QuotaCounters,
    ) -> None:
        self.random = random_source
        self.coordinator = coordinator
        self.node = node
        self.choice = choice
        self.zone = zone
        self.transport = transport
        self.ask = ask
        self.counters = counters
        self.quiet_until_ms: dict[str, float] = {}

    def borrow_for_round(self) -> None:
        """Borrow what the own zone is expected to need beyond what is at hand."""
        missing = {}
        for team in list(self.coordinator.demands):
            expected = self.coordinator.expected(team, 1.5 * _team_limit.ROUND_MS)
            if expected < 2.0:
                continue
            lacking = expected - self.coordinator.stock(team)
            if lacking >= 1.0:
                missing[team] = lacking
        if missing:
            self.borrow(missing, lambda: None)

    def borrow(self, missing: Mapping[str, float], done: Callable[[], None]) -> None:
        """Ask other zones for ``missing`` tokens by team; ``done`` is called once."""
        now_ms = self.coordinator.clock.now_ms()
        targets = {}
        for team, amount in missing.items():
            if now_ms >= self.quiet_until_ms.get(team, -math.inf):
                soon = self.coordinator.expected(team, _team_limit.ROUND_MS)
                more = soon if soon >= 2.0 else 0.0
                targets[team] = self.coordinator.stock(team) + amount + more
        hosts = self.choice.others(self.zone)
        if not targets or not hosts:
            done()
            return
        self.random.shuffle(hosts)
        first, rest = hosts[: ZONES_ASKED[0]], hosts[ZONES_ASKED[0] :]
        gave_all: list[str] = []

        def second_pass() -> None:
            others = [*gave_all, *rest][: ZONES_ASKED[1]]
            self._ask_all(others, targets, [], functools.partial(finish, done))

        def finish(done: Callable[[], None]) -> None:
            now_ms = self.coordinator.clock.now_ms()
            for team, target in targets.items():
                if self.coordinator.stock(team) < target - 1.0:
                    self.quiet_until_ms[team] = now_ms + QUIET_MS
            done()

        self._ask_all(first, targets, gave_all, second_pass)

    def _ask_all(
        self,
        hosts: list[str],
        targets: Mapping[str, float],
        gave_all: list[str],
        done: Callable[[], None],
    ) -> None:
        """Ask each of ``hosts`` for its part of what is missing up to the targets."""
        demands = []
        for team, target in targets.items():
            lacking = target - self.coordinator.stock(team)
            if lacking > 1e-6 and hosts:
                part = math.ceil(lacking / len(hosts) * 1000.0) / 1000.0
                demands.append(_messages.Demand(team, part, 0.0))
        if not demands:
            done()
            return
        state = _Pass(set(hosts), done)

        def end() -> None:
            ended, state.done = state.done, None
            if ended is not None:
                cancel()
                ended()

        cancel = self.transport.call_later(PASS_MS, end)

        def answered(
            host: str, answer: _messages.Answer | None, sent_ms: float
        ) -> None:
            state.unanswered.discard(host)
            if answer is not None:
                amount = self._add(answer, sent_ms)
                if amount >= sum(demand.needed for demand in demands) - 1e-6:
                    gave_all.append(host)
            if not state.unanswered:
                end()

        for host in hosts:
            self.ask(host, tuple(demands), functools.partial(answered, host))

    def _add(self, answer: _messages.Answer, sent_ms: float) -> float:
        added = 0.0
        for grant in answer.grants:
            if answer.version >= self.node.lowered.get(grant.team, 0):
                left_ms = min(grant.left_ms, _team_limit.TOKEN_LIFE_MS)
                self.coordinator.add_borrowed(
                    grant.team, grant.amount, sent_ms + left_ms
                )
                added += grant.amount
        self.counters.borrowed += added
        return added
