"""The tokens that a node holds for its own clients' requests."""

import math
from collections.abc import Iterable, Mapping

import attrs

from jujubetiller import clock
from jujubetiller.quotas import (
    _decaying_demand,
    _messages,
    _precision,
    _team_limit,
    _token_lots,
)

PREFETCH_MS = 500.0
"""A node asks for the tokens that it is expected to need for this long."""

MIN_DEMAND = 1.0
"""Requests within ``DEMAND_MS``, on average, below which a node holds no tokens."""

MIN_REFUSAL_MS = 20.0
MAX_REFUSAL_MS = 50.0
"""Bounds on the time for which a node refuses a team's requests without asking, after
it got too few tokens: a team far above its rate would cost a question for each
request."""


@attrs.define
class _Holding:
    """What a node holds and knows for one team."""

    lots: _token_lots.TokenLots = attrs.field(factory=_token_lots.TokenLots)
    demand: _decaying_demand.DecayingDemand = attrs.field(
        factory=_decaying_demand.DecayingDemand
    )
    """Requests, each of which needs one token."""

    empty_until_ms: float = -math.inf
    expected_at_ms: float = -math.inf
    """When the next token is expected."""

    asked: float = 0.0
    granted: float = 0.0
    """What the last answer with a wait was asked for, and what it granted."""


class NodeQuota:
    """Admits requests of teams with the tokens that coordinators have granted.

    Teams without a limit are not known here. All times are on the boot clock.
    """

    def __init__(self, boot_clock: clock.Clock) -> None:
        self.clock = boot_clock
        self.limits: dict[str, _team_limit.TeamLimit] = {}
        self.holdings: dict[str, _Holding] = {}
        self.version = 0
        self.lowered: dict[str, int] = {}
        """Versions of the configuration that last lowered the limits of teams."""

        self.expired_before = 0.0
        """Expired tokens of teams that are no longer known."""

    def configure(
        self, limits: Mapping[str, _team_limit.TeamLimit], version: int
    ) -> list[str]:
        """Apply limits; drop the tokens of teams whose limit fell, and return these."""
        lowered = [
            team
            for team, limit in limits.items()
            if team in self.limits and limit.is_lower(self.limits[team])
        ]
        self.lowered = {t: v for t, v in self.lowered.items() if t in limits}
        # A team that had no limit, or that this node did not know, starts afresh.
        fresh = [team for team in limits if team not in self.limits] if version else []
        self.lowered.update(dict.fromkeys([*lowered, *fresh], version))
        for team in lowered:
            if team in self.holdings:
                self.holdings[team].lots.clear()
        for team in [team for team in self.holdings if team not in limits]:
            lots = self.holdings.pop(team).lots
            lots.clear()
            self.expired_before += lots.expired
        self.limits = dict(limits)
        self.version = version
        return lowered

    def holding(self, team: str) -> _Holding:
        """Return what is held for a team that has a limit."""
        found = self.holdings.get(team)
        if found is None:
            found = self.holdings[team] = _Holding()
        return found

    def try_acquire(self, team: str) -> _token_lots.Token | None:
        """Take a token that is at hand, or return None."""
        now_ms = self.clock.now_ms()
        lots = self.holding(team).lots
        if lots.total(now_ms) < _precision.WHOLE_TOKEN:
            return None
        _, expires_ms = lots.take(1.0, now_ms)
        return _token_lots.Token(team, expires_ms)

    def give_back(self, token: _token_lots.Token) -> bool:
        """Return a token whose request did not run; return whether it can be used."""
        is_usable = token.expires_ms > self.clock.now_ms() and token.team in self.limits
        if is_usable:
            self.holding(token.team).lots.add(1.0, token.expires_ms)
        return is_usable

    def record_request(self, team: str) -> None:
        """Record a request, by which the team's demand is known."""
        self.holding(team).demand.add(1.0, self.clock.now_ms())

    def list_wanted(self) -> tuple[_messages.Demand, ...]:
        """Return what the node wants beside what it holds, by recent demand."""
        now_ms = self.clock.now_ms()
        wanted = []
        for team, holding in self.holdings.items():
            demand = holding.demand.read(now_ms)
            if demand < MIN_DEMAND:
                continue
            target = max(
                1.0, math.ceil(demand * PREFETCH_MS / _decaying_demand.DEMAND_MS)
            )
            missing = math.floor(target - holding.lots.total(now_ms))
            if missing >= 1:
                wanted.append(_messages.Demand(team, 0.0, float(missing)))
        return tuple(wanted)

    def expiry_ms(
        self, grant: _messages.Grant, sent_ms: float, version: int
    ) -> float | None:
        """Return when granted tokens expire; None if they must not be used.

        The answer was sent after the question of ``sent_ms``, so that what its tokens
        had left then counts from ``sent_ms`` here, for ``TOKEN_LIFE_MS`` at most.
        ``version`` is the configuration of the granting node: tokens from before a
        limit fell are not used.
        """
        if version < self.lowered.get(grant.team, 0):
            return None
        return sent_ms + min(grant.left_ms, _team_limit.TOKEN_LIFE_MS)

    def add_grants(
        self, grants: Iterable[_messages.Grant], sent_ms: float, version: int
    ) -> float:
        """Add the tokens of an answer to a question of ``sent_ms``; return how many.

        ``version`` is the configuration of the granting node, see ``expiry_ms``.
        """
        added = 0.0
        for grant in grants:
            if grant.team not in self.limits:
                continue
            holding = self.holding(grant.team)
            expires_ms = self.expiry_ms(grant, sent_ms, version)
            if grant.amount > 0.0 and expires_ms is not None:
                holding.lots.add(grant.amount, expires_ms)
                added += grant.amount
        return added

    def record_shortage(
        self, team: str, asked: float, granted: float, wait_ms: float
    ) -> None:
        """Record that too few tokens were granted, and when more are expected."""
        holding, now_ms = self.holding(team), self.clock.now_ms()
        pause_ms = min(max(wait_ms, MIN_REFUSAL_MS), MAX_REFUSAL_MS)
        holding.empty_until_ms = now_ms + pause_ms
        holding.expected_at_ms = now_ms + wait_ms
        holding.asked, holding.granted = asked, granted

    def refuses_without_asking(self, team: str) -> bool:
        """Return whether no token can be had for ``team`` at present."""
        return self.clock.now_ms() < self.holding(team).empty_until_ms

    def retry_after_ms(self, team: str) -> float:
        """Return the time until tokens of ``team`` are expected; 0 if not known."""
        return max(0.0, self.holding(team).expected_at_ms - self.clock.now_ms())

    def count_expired(self) -> float:
        """Return how many granted tokens have expired without being used."""
        held = sum(holding.lots.expired for holding in self.holdings.values())
        return self.expired_before + held
