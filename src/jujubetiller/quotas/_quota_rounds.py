"""What a node asks and answers about tokens, in rounds and when a request waits."""

import collections
import functools
import math
import random
from collections.abc import Callable, Mapping, Set

import attrs

from jujubetiller import clock
from jujubetiller.quotas import (
    _borrowing,
    _coordinator,
    _coordinator_choice,
    _fleet_share,
    _messages,
    _node_quota,
    _quota_counters,
    _team_limit,
    _token_lots,
    _transport,
)

WAIT_MS = 100.0
"""Time for which a request waits for a token."""

MAX_WAITING = 1_024
"""Requests of one team that wait for tokens."""

ANSWER_MS = 400.0
"""A node that has not answered in this time is passed over for a while."""

MAX_STAMP_AGE_MS = 1_000.0
"""Bound on the time that a delegation counts on two clocks, see the design note."""


@attrs.frozen
class Refusal:
    """Why a request got no token."""

    team: str
    retry_after_ms: float
    rate_per_s: float
    asked: float
    granted: float
    share_age_ms: float


@attrs.define(eq=False)
class _Waiting:
    admitted: Callable[[_token_lots.Token | None], None]
    refused: Callable[[Refusal], None]
    cancel_timer: Callable[[], None]
    is_over: bool = False

    def end(self) -> None:
        """Wait no more."""
        self.is_over = True
        self.cancel_timer()


class QuotaRounds:
    """The quota of one node, which serves clients and may coordinate its zone."""

    def __init__(
        self,
        boot_clock: clock.Clock,
        random_source: random.Random,
        transport: _transport.Transport,
        own_host: str,
        zone: str,
    ) -> None:
        self.clock = boot_clock
        self.transport = transport
        self.own_host = own_host
        self.zone = zone
        self.boot = random_source.getrandbits(32)
        self.counters = _quota_counters.QuotaCounters()
        self.fleet = _fleet_share.FleetShare(boot_clock)
        self.coordinator = _coordinator.Coordinator(boot_clock)
        self.node = _node_quota.NodeQuota(boot_clock)
        self.choice = _coordinator_choice.CoordinatorChoice(boot_clock)
        self.borrowing = _borrowing.Borrowing(
            random_source,
            self.coordinator,
            self.node,
            self.choice,
            zone,
            transport,
            functools.partial(self._ask, is_from_zone=True),
            self.counters,
        )
        self.number = 0
        self.share = 0.0
        self.share_ends_ms = -math.inf
        self.delegated_to: str | None = None
        self.delegated_until_ms = -math.inf
        self.stamps: dict[str, tuple[int, float, float]] = {}
        """The process, its stamp, and when the stamp arrived, by host."""

        self.waiting: dict[str, collections.deque[_Waiting]] = {}
        self.asking: set[str] = set()
        """Teams for whose waiting requests a question is under way."""

    def configure(
        self, limits: Mapping[str, _team_limit.TeamLimit], version: int
    ) -> None:
        """Apply the limits of all teams that have one."""
        lowered = self.node.configure(limits, version)
        self.coordinator.configure(limits, lowered)

    def update_nodes(
        self,
        zones: Mapping[str, Set[str]],
        hosts: frozenset[str],
        is_listed: bool,
        as_of_ms: float,
    ) -> None:
        """Apply the list of nodes and the time as of which it is known.

        ``zones`` are the hosts that may be asked; ``hosts`` are all that are listed or
        were until a removal that may not be final. ``is_listed`` is false for a node
        whose own entry was removed, final or not. Called for each list and before each
        round, also without teams.
        """
        self.choice.set_nodes(zones)
        self.share, self.share_ends_ms = self.fleet.update(hosts, is_listed, as_of_ms)
        self.stamps = {h: s for h, s in self.stamps.items() if h in hosts}

    def run_round(self) -> None:
        """Delegate the share, ask for tokens, and borrow from other zones."""
        if not self.node.limits:
            return
        self.coordinator.advance()
        host = self.choice.first(self.zone)
        if host is None or host == self.own_host:
            self._use_own_share()
        else:
            wanted = self.node.list_wanted()
            delegation = self._delegate(host)
            if delegation is None:
                self._use_own_share()
            if self.share or wanted:
                answered = functools.partial(self._round_answered, host)
                self._ask(host, wanted, answered, delegation)
        self.borrowing.borrow_for_round()

    def acquire(
        self,
        team: str,
        admitted: Callable[[_token_lots.Token | None], None],
        refused: Callable[[Refusal], None],
    ) -> Callable[[], None] | None:
        """Admit a request of ``team`` now or within ``WAIT_MS``, or refuse it.

        ``admitted`` gets the token, or None if the team has no limit. The result
        drops a request that waits, and is None if it does not wait.
        """
        if team not in self.node.limits:
            admitted(None)
            return None
        self.node.record_request(team)
        queue = self.waiting.get(team)
        token = None if queue else self.node.try_acquire(team)
        if token is not None:
            self.counters.used += 1
            admitted(token)
            return None
        is_full = queue is not None and len(queue) >= MAX_WAITING
        self.counters.over_bound += is_full
        if is_full or self.node.is_empty(team):
            self._refuse(team, refused)
            return None
        waiting = _Waiting(admitted, refused, _do_nothing)
        waiting.cancel_timer = self.transport.call_later(
            WAIT_MS, functools.partial(self._end_wait, team, waiting)
        )
        self.waiting.setdefault(team, collections.deque()).append(waiting)
        self._ask_now(team)
        if waiting.is_over:
            return None
        return functools.partial(self._drop, team, waiting)

    def give_back(self, token: _token_lots.Token) -> None:
        """Return the token of a request that has not run, with its expiry."""
        self.counters.given_back += self.node.give_back(token)

    def receive(
        self,
        question: _messages.Question,
        reply: Callable[[_messages.Answer], None],
    ) -> None:
        """Answer a question; one of the own zone may wait for other zones."""
        self._record_delegation(question)
        grants: list[_messages.Grant] = []
        missing: dict[str, float] = {}
        for demand in question.demands:
            if question.is_from_zone:
                grant = self.coordinator.grant_to_zone(demand)
                self.counters.granted_to_zones += grant.amount
            else:
                grant = self._grant_to_node(demand)
                extra = max(0.0, grant.amount - demand.needed)
                self.coordinator.record_demand(demand.team, demand.needed + extra)
                if grant.amount < demand.needed:
                    missing[demand.team] = demand.needed - grant.amount
            if grant.amount:
                grants.append(grant)

        def finish() -> None:
            for team, amount in missing.items():
                grants.append(self._grant_to_node(_messages.Demand(team, amount, 0.0)))
            reply(
                _messages.Answer(
                    question.number,
                    self.boot,
                    self.clock.now_ms(),
                    self.node.version,
                    tuple(grants),
                )
            )

        if not missing:
            finish()
            return
        lacking = {
            team: math.ceil(amount) - self.coordinator.stock(team)
            for team, amount in missing.items()
        }
        self.borrowing.borrow(lacking, finish)

    def _grant_to_node(self, demand: _messages.Demand) -> _messages.Grant:
        grant = self.coordinator.grant_to_node(demand)
        self.counters.granted_to_nodes += grant.amount
        return grant

    def _use_own_share(self) -> None:
        if self.share and self.clock.now_ms() >= self.delegated_until_ms:
            self.number += 1
            self.coordinator.record_share(
                (self.own_host, self.boot), self.number, self.share, self.share_ends_ms
            )

    def _delegate(self, host: str) -> _messages.Delegation | None:
        """Delegate the share to ``host``, unless another one may still use it."""
        now_ms = self.clock.now_ms()
        stamp = self.stamps.get(host)
        is_free = host == self.delegated_to or now_ms >= self.delegated_until_ms
        valid_ms = min(_team_limit.DELEGATION_MS, self.share_ends_ms - now_ms)
        if stamp is None or not is_free or not self.share or valid_ms <= 0.0:
            return None
        boot, stamp_ms, arrived_at_ms = stamp
        life_ms = valid_ms + min(now_ms - arrived_at_ms, MAX_STAMP_AGE_MS)
        self.delegated_to = host
        self.delegated_until_ms = max(
            self.delegated_until_ms,
            now_ms + valid_ms + _team_limit.CLOCK_MARGIN * life_ms,
        )
        self.coordinator.remove_share((self.own_host, self.boot))
        return _messages.Delegation(self.share, stamp_ms, boot, life_ms)

    def _record_delegation(self, question: _messages.Question) -> None:
        delegation = question.delegation
        if delegation is None or delegation.stamp_boot != self.boot:
            return
        if delegation.stamp_ms > self.clock.now_ms():
            return
        life_ms = min(delegation.life_ms, _team_limit.DELEGATION_MS + MAX_STAMP_AGE_MS)
        self.coordinator.record_share(
            (question.sender, question.boot),
            question.number,
            delegation.share,
            delegation.stamp_ms + life_ms,
        )

    def _ask(
        self,
        host: str,
        demands: tuple[_messages.Demand, ...],
        answered: Callable[[_messages.Answer | None, float], None],
        delegation: _messages.Delegation | None = None,
        is_from_zone: bool = False,
    ) -> None:
        """Send a question; ``answered`` is called once, also if there is no answer."""
        self.number += 1
        number, sent_ms = self.number, self.clock.now_ms()
        question = _messages.Question(
            self.own_host,
            self.boot,
            number,
            self.node.version,
            is_from_zone,
            delegation,
            demands,
        )
        callback: list[Callable[[_messages.Answer | None, float], None]] = [answered]

        def end(answer: _messages.Answer | None) -> None:
            if not callback or (answer is not None and answer.number != number):
                return
            cancel()
            if answer is None:
                self.counters.unanswered += 1
                self.choice.record_failure(host)
            else:
                self.choice.record_answer(host)
                stamp = answer.boot, answer.stamp_ms, self.clock.now_ms()
                self.stamps[host] = stamp
            callback.pop()(answer, sent_ms)

        cancel = self.transport.call_later(ANSWER_MS, lambda: end(None))
        if host == self.own_host:
            self.receive(question, end)
            return
        self.counters.questions += 1
        self.transport.ask(host, question, end)

    def _round_answered(
        self, host: str, answer: _messages.Answer | None, sent_ms: float
    ) -> None:
        if answer is not None:
            self._add_grants(answer, sent_ms)
            for team in {grant.team for grant in answer.grants}:
                self._admit_waiting(team)

    def _add_grants(self, answer: _messages.Answer, sent_ms: float) -> float:
        added = self.node.add_grants(answer.grants, sent_ms, answer.version)
        self.counters.granted += added
        return added

    def _ask_now(self, team: str) -> None:
        """Ask for tokens for the requests of ``team`` that wait."""
        queue = self.waiting.get(team)
        if team in self.asking or not queue:
            return
        self.asking.add(team)
        host = self.choice.first(self.zone) or self.own_host
        if host == self.own_host:
            self._use_own_share()
        needed = float(len(queue))
        demand = _messages.Demand(team, needed, 0.0)
        self._ask(host, (demand,), functools.partial(self._asked, team, needed))

    def _asked(
        self,
        team: str,
        needed: float,
        answer: _messages.Answer | None,
        sent_ms: float,
    ) -> None:
        self.asking.discard(team)
        if team not in self.node.limits:
            self._admit_all(team)
            return
        if answer is not None:
            added = self._add_grants(answer, sent_ms)
            if added < needed - 1e-6:
                waits = [grant.wait_ms for grant in answer.grants]
                self.node.record_shortage(team, needed, added, max(waits, default=0.0))
        self._admit_waiting(team)
        if self.node.is_empty(team):
            for waiting in self.waiting.pop(team, ()):
                waiting.end()
                self._refuse(team, waiting.refused)
        self._ask_now(team)

    def _admit_waiting(self, team: str) -> None:
        queue = self.waiting.get(team)
        while queue:
            token = self.node.try_acquire(team)
            if token is None:
                return
            waiting = queue.popleft()
            waiting.end()
            self.counters.used += 1
            waiting.admitted(token)
        self.waiting.pop(team, None)

    def _admit_all(self, team: str) -> None:
        """Admit the requests of a team whose limit was removed while they waited."""
        for waiting in self.waiting.pop(team, ()):
            waiting.end()
            waiting.admitted(None)

    def _end_wait(self, team: str, waiting: _Waiting) -> None:
        self._drop(team, waiting)
        self._refuse(team, waiting.refused)

    def _drop(self, team: str, waiting: _Waiting) -> None:
        waiting.end()
        queue = self.waiting.get(team)
        if queue is not None and waiting in queue:
            queue.remove(waiting)
            if not queue:
                del self.waiting[team]

    def _refuse(self, team: str, refused: Callable[[Refusal], None]) -> None:
        self.counters.refused += 1
        holding = self.node.holding(team)
        limit = self.node.limits.get(team)
        refused(
            Refusal(
                team,
                self.node.retry_after_ms(team),
                0.0 if limit is None else limit.rate_per_ms * 1000.0,
                holding.asked,
                holding.granted,
                self.clock.now_ms() - self.fleet.as_of_ms,
            )
        )


def _do_nothing() -> None:
    """Do nothing; nothing waits."""
