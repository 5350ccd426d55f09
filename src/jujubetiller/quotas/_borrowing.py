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
    _precision,
    _quota_counters,
    _team_limit,
    _transport,
)

FIRST_PASS_ZONES = 3
"""Zones asked at first."""

SECOND_PASS_ZONES = 8
"""Zones asked for what those of the first pass did not have."""

PASS_TIMEOUT_MS = 30.0
"""Time for the answers to each of the two passes; requests wait for 100 ms at most."""

BORROW_PAUSE_MS = 50.0
"""Pause after other zones had nothing to lend of a team's tokens."""

ROUNDS_AHEAD = 1.5
"""Rounds for whose expected demand each round borrows."""

MIN_DEMAND = 2.0
"""Expected demand, in tokens, below which none are borrowed in advance."""

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
            expected = self.coordinator.expected_demand(
                team, ROUNDS_AHEAD * _team_limit.ROUND_MS
            )
            if expected < MIN_DEMAND:
                continue
            lacking = expected - self.coordinator.available_tokens(team)
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
                soon = self.coordinator.expected_demand(team, _team_limit.ROUND_MS)
                more = soon if soon >= MIN_DEMAND else 0.0
                targets[team] = self.coordinator.available_tokens(team) + amount + more
        hosts = self.choice.others(self.zone)
        if not targets or not hosts:
            done()
            return
        self.random.shuffle(hosts)
        first, rest = hosts[:FIRST_PASS_ZONES], hosts[FIRST_PASS_ZONES:]
        hosts_with_surplus: list[str] = []

        def second_pass() -> None:
            others = [*hosts_with_surplus, *rest][:SECOND_PASS_ZONES]
            self._ask_all(others, targets, [], functools.partial(finish, done))

        def finish(done: Callable[[], None]) -> None:
            now_ms = self.coordinator.clock.now_ms()
            for team, target in targets.items():
                if self.coordinator.available_tokens(team) < target - 1.0:
                    self.quiet_until_ms[team] = now_ms + BORROW_PAUSE_MS
            done()

        self._ask_all(first, targets, hosts_with_surplus, second_pass)

    def _ask_all(
        self,
        hosts: list[str],
        targets: Mapping[str, float],
        hosts_with_surplus: list[str],
        done: Callable[[], None],
    ) -> None:
        """Ask each of ``hosts`` for its part of what is missing up to the targets."""
        demands = []
        for team, target in targets.items():
            lacking = target - self.coordinator.available_tokens(team)
            if lacking > _precision.TOLERANCE and hosts:
                part = _precision.round_up(lacking / len(hosts))
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

        cancel = self.transport.call_later(PASS_TIMEOUT_MS, end)

        def answered(
            host: str, answer: _messages.Answer | None, sent_ms: float
        ) -> None:
            state.unanswered.discard(host)
            if answer is not None:
                amount = self._add(answer, sent_ms)
                needed = sum(demand.needed for demand in demands)
                if amount >= needed - _precision.TOLERANCE:
                    hosts_with_surplus.append(host)
            if not state.unanswered:
                end()

        for host in hosts:
            self.ask(host, tuple(demands), functools.partial(answered, host))

    def _add(self, answer: _messages.Answer, sent_ms: float) -> float:
        added = 0.0
        for grant in answer.grants:
            expires_ms = self.node.expiry_ms(grant, sent_ms, answer.version)
            if expires_ms is not None:
                self.coordinator.add_borrowed(grant.team, grant.amount, expires_ms)
                added += grant.amount
        self.counters.borrowed += added
        return added
