"""What a node asks and answers about tokens, in rounds and when a request waits."""

import functools
import random
from collections.abc import Callable, Mapping, Set

from jujubetiller import clock
from jujubetiller.quotas import (
    _borrowing,
    _coordinator,
    _coordinator_choice,
    _messages,
    _node_quota,
    _pending_question,
    _precision,
    _question_handler,
    _quota_counters,
    _share_holder,
    _team_limit,
    _token_lots,
    _transport,
    _waiting_requests,
)

ANSWER_TIMEOUT_MS = 400.0
"""A node that has not answered in this time is passed over for a while."""

FALLBACK_DELAY_MS = 40.0
"""Time after which another node is asked as well for requests that wait: the answer to
a request that waits for other zones takes about 5 ms without faults."""


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
        self.coordinator = _coordinator.Coordinator(boot_clock)
        self.own_share = _share_holder.ShareHolder(
            boot_clock, self.coordinator, own_host, self.boot
        )
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
        self.question_handler = _question_handler.QuestionHandler(
            self.coordinator, self.own_share, self.borrowing, self.node, self.counters
        )
        self.number = 0
        self.waiting = _waiting_requests.WaitingRequests(transport)
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
        self.own_share.update(hosts, is_listed, as_of_ms)

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
            delegation = self.own_share.delegate(host)
            if delegation is None:
                self._use_own_share()
            if self.own_share.share or wanted:
                answered = functools.partial(self._round_answered, host)
                self._ask(host, wanted, answered, delegation)
        self.borrowing.borrow_for_round()

    def acquire(
        self,
        team: str,
        admitted: Callable[[_token_lots.Token | None], None],
        refused: Callable[[_waiting_requests.Refusal], None],
    ) -> Callable[[], None] | None:
        """Admit a request of ``team`` now or within 100 ms, or refuse it.

        ``admitted`` gets the token, or None if the team has no limit. The result
        drops a request that waits, and is None if it does not wait.
        """
        if team not in self.node.limits:
            admitted(None)
            return None
        self.node.record_request(team)
        count = self.waiting.count(team)
        token = None if count else self.node.try_acquire(team)
        if token is not None:
            self.counters.used += 1
            admitted(token)
            return None
        is_full = count >= _waiting_requests.MAX_WAITING
        self.counters.over_bound += is_full
        if is_full or self.node.refuses_without_asking(team):
            self._refuse(team, refused)
            return None
        waiting = self.waiting.add(
            team, admitted, refused, lambda ended: self._refuse(team, ended.refused)
        )
        self._request_tokens(team)
        return None if waiting.is_over else self.waiting.make_drop(team, waiting)

    def give_back(self, token: _token_lots.Token) -> None:
        """Return the token of a request that has not run, with its expiry."""
        self.counters.given_back += self.node.give_back(token)

    def receive(
        self,
        question: _messages.Question,
        reply: Callable[[_messages.Answer], None],
    ) -> None:
        """Answer a question, see ``QuestionHandler.receive``."""
        self.question_handler.receive(question, reply)

    def _use_own_share(self) -> None:
        self.number += 1
        self.own_share.use_own(self.number)

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
        pending = _pending_question.PendingQuestion(number, answered)

        def end(answer: _messages.Answer | None) -> None:
            on_answer = pending.resolve(answer)
            if on_answer is None:
                return
            cancel()
            if answer is None:
                self.counters.unanswered += 1
                self.choice.record_failure(host)
            else:
                self.choice.record_answer(host)
                self.own_share.record_stamp(host, answer)
            on_answer(answer, sent_ms)

        cancel = self.transport.call_later(ANSWER_TIMEOUT_MS, lambda: end(None))
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

    def _request_tokens(self, team: str) -> None:
        """Ask for tokens for the requests of ``team`` that wait."""
        count = self.waiting.count(team)
        if team in self.asking or not count:
            return
        self.asking.add(team)
        host = self.choice.first(self.zone) or self.own_host
        if host == self.own_host:
            self._use_own_share()
        needed = float(count)
        demand = _messages.Demand(team, needed, 0.0)
        cancel = self.transport.call_later(
            FALLBACK_DELAY_MS,
            functools.partial(self._request_tokens_elsewhere, team, host),
        )

        def on_answer(answer: _messages.Answer | None, sent_ms: float) -> None:
            cancel()
            self._handle_tokens(team, needed, answer, sent_ms)

        self._ask(host, (demand,), on_answer)

    def _request_tokens_elsewhere(self, team: str, silent: str) -> None:
        """Ask another node for the requests that wait for the answer of ``silent``."""
        count = self.waiting.count(team)
        host = self.choice.first(self.zone, without=silent)
        if count and host is not None:
            demand = _messages.Demand(team, float(count), 0.0)
            answered = functools.partial(self._round_answered, host)
            self._ask(host, (demand,), answered)

    def _handle_tokens(
        self,
        team: str,
        needed: float,
        answer: _messages.Answer | None,
        sent_ms: float,
    ) -> None:
        self.asking.discard(team)
        if team not in self.node.limits:
            # The limit was removed while they waited.
            for waiting in self.waiting.pop_all(team):
                waiting.admitted(None)
            return
        if answer is not None:
            added = self._add_grants(answer, sent_ms)
            if added < needed - _precision.TOLERANCE:
                waits = [grant.wait_ms for grant in answer.grants]
                self.node.record_shortage(team, needed, added, max(waits, default=0.0))
        self._admit_waiting(team)
        if self.node.refuses_without_asking(team):
            for waiting in self.waiting.pop_all(team):
                self._refuse(team, waiting.refused)
        self._request_tokens(team)

    def _admit_waiting(self, team: str) -> None:
        while self.waiting.count(team):
            token = self.node.try_acquire(team)
            if token is None:
                return
            self.counters.used += 1
            self.waiting.pop(team).admitted(token)

    def _refuse(
        self, team: str, refused: Callable[[_waiting_requests.Refusal], None]
    ) -> None:
        self.counters.refused += 1
        holding = self.node.holding(team)
        limit = self.node.limits.get(team)
        refused(
            _waiting_requests.Refusal(
                team,
                self.node.retry_after_ms(team),
                0.0 if limit is None else limit.rate_per_ms * 1000.0,
                holding.asked,
                holding.granted,
                self.clock.now_ms() - self.own_share.fleet.as_of_ms,
            )
        )
