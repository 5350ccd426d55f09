"""Grants tokens from the shares that nodes have delegated."""

import math
from collections.abc import Iterable, Mapping

from jujubetiller import clock
from jujubetiller.quotas import (
    _burst_pool,
    _decaying_demand,
    _delegations,
    _lowest_share,
    _messages,
    _precision,
    _team_limit,
    _token_bucket,
    _token_lots,
)

RESERVE_MS = 100.0
"""A coordinator lends only what exceeds the expected demand of its own zone in this
time."""

PREFETCH_THRESHOLD = 0.75
"""Tokens for requests to come are granted only from what is above this part of the
bucket: they expire if they are not used, which matters to a team near its limit."""

MAX_WAIT_MS = 60_000.0


class Coordinator:
    """The buckets of all teams, filled by the sum of the shares that are in use.

    A node that reaches no coordinator is its own, with nothing but its own share.
    """

    def __init__(self, boot_clock: clock.Clock) -> None:
        self.clock = boot_clock
        self.at_ms = boot_clock.now_ms()
        self.share_ms = 0.0
        """The integral of the sum of all shares over time."""

        self.lowest: dict[float, _lowest_share.LowestShare] = {}
        """The lowest sum of shares in each time that limits cover."""

        self.delegations = _delegations.Delegations()
        self.buckets: dict[str, _token_bucket.TokenBucket] = {}
        self.former_pools: dict[str, _burst_pool.BurstPool] = {}
        """Pools of teams without a limit, until no window holds what they granted."""

        self.borrowed: dict[str, _token_lots.TokenLots] = {}
        self.demands: dict[str, _decaying_demand.DecayingDemand] = {}

    def configure(
        self, limits: Mapping[str, _team_limit.TeamLimit], lowered: Iterable[str]
    ) -> None:
        """Apply the limits in force; ``lowered`` are the teams whose limit fell."""
        now_ms = self.advance()
        self._keep_lowest_shares(
            {limit.covered_ms for limit in limits.values()}, now_ms
        )
        for team, limit in limits.items():
            bucket = self.buckets.get(team)
            if bucket is None:
                bucket = _token_bucket.TokenBucket(limit, self.share_ms)
                bucket.pool = self.former_pools.pop(team, bucket.pool)
                self.buckets[team] = bucket
            elif bucket.limit != limit:
                bucket.set_limit(limit, self.share_ms, self.delegations.total)
        for team in [team for team in self.buckets if team not in limits]:
            self.former_pools[team] = self.buckets.pop(team).pool
            self.demands.pop(team, None)
            self.borrowed.pop(team, None)
        for team in lowered:
            self.borrowed.pop(team, None)
        self.former_pools = {
            team: pool
            for team, pool in self.former_pools.items()
            if not pool.is_unused(now_ms)
        }

    def advance(self) -> float:
        """Account for the time since the last call; return the present time.

        Between two calls shares can only end, so that the sum that is left has been
        available all the time. Buckets are settled before the sum changes again.
        """
        now_ms = self.clock.now_ms()
        before = self.delegations.total
        self.delegations.expire(now_ms)
        self.share_ms += (now_ms - self.at_ms) * self.delegations.total
        self.at_ms = now_ms
        self._settle_after_change(before)
        return now_ms

    def record_share(
        self, sender: _messages.Sender, number: int, share: float, until_ms: float
    ) -> None:
        """Use ``share`` of ``sender`` until ``until_ms``."""
        now_ms = self.advance()
        before = self.delegations.total
        self.delegations.record(sender, number, share, until_ms, now_ms)
        self._settle_after_change(before)

    def remove_share(self, sender: _messages.Sender) -> None:
        """Use the share of ``sender`` no more."""
        self.advance()
        before = self.delegations.total
        self.delegations.remove(sender)
        self._settle_after_change(before)

    def available_tokens(self, team: str) -> float:
        """Return the tokens at hand, borrowed ones included."""
        now_ms = self.advance()
        bucket = self.buckets.get(team)
        if bucket is None:
            return 0.0
        lots = self.borrowed.get(team)
        return self._available(bucket) + (lots.total(now_ms) if lots else 0.0)

    def add_borrowed(self, team: str, amount: float, expires_ms: float) -> None:
        """Add tokens that another zone has granted."""
        if team in self.buckets:
            lots = self.borrowed.setdefault(team, _token_lots.TokenLots())
            lots.add(amount, expires_ms)

    def record_demand(self, team: str, amount: float) -> None:
        """Record that nodes of the own zone asked for ``amount`` tokens."""
        if team in self.buckets and amount > 0.0:
            demand = self.demands.setdefault(team, _decaying_demand.DecayingDemand())
            demand.add(amount, self.clock.now_ms())

    def expected_demand(self, team: str, within_ms: float) -> float:
        """Return the tokens that the own zone is expected to need in that time."""
        demand = self.demands.get(team)
        return demand.per_ms(self.clock.now_ms()) * within_ms if demand else 0.0

    def grant_to_node(self, demand: _messages.Demand) -> _messages.Grant:
        """Grant whole tokens: those that are needed first, then from the surplus."""
        stock = self.available_tokens(demand.team)
        bucket = self.buckets.get(demand.team)
        if bucket is None:
            # This node has not got the configuration yet that the other one has.
            return _messages.Grant(demand.team, 0.0, 0.0, _team_limit.ROUND_MS)
        whole = math.floor(stock + _precision.TOLERANCE)
        amount = min(math.ceil(demand.needed), whole)
        size = bucket.limit.depth * self.delegations.total
        size += bucket.limit.pool * self._lowest_share(bucket)
        surplus = math.floor(stock - amount - PREFETCH_THRESHOLD * size)
        amount += max(0, min(math.floor(demand.wanted), surplus))
        return self._take(demand, float(amount))

    def grant_to_zone(self, demand: _messages.Demand) -> _messages.Grant:
        """Grant what the own zone is not expected to need, also parts of tokens."""
        now_ms = self.advance()
        bucket = self.buckets.get(demand.team)
        if bucket is None:
            return _messages.Grant(demand.team, 0.0, 0.0, _team_limit.ROUND_MS)
        # Borrowed tokens are not lent on: two zones would lend them to each other.
        spare = self._available(bucket) - self.expected_demand(demand.team, RESERVE_MS)
        wanted = max(0.0, min(demand.needed, spare))
        amount = bucket.take(wanted, self._lowest_share(bucket), now_ms)
        amount = _precision.round_down(amount)
        return _messages.Grant(demand.team, amount, _team_limit.TOKEN_LIFE_MS, 0.0)

    def wait_ms(self, team: str, missing: float) -> float:
        """Return the time until ``missing`` tokens more are expected."""
        bucket = self.buckets.get(team)
        total = self.delegations.total
        if bucket is None or not total or not bucket.limit.rate_per_ms:
            return _team_limit.LISTED_MS
        return min(MAX_WAIT_MS, missing / (bucket.limit.rate_per_ms * total))

    def _take(self, demand: _messages.Demand, amount: float) -> _messages.Grant:
        now_ms = self.clock.now_ms()
        left_ms = _team_limit.TOKEN_LIFE_MS
        lots = self.borrowed.get(demand.team)
        rest = amount
        if lots is not None and rest:
            taken, expires_ms = lots.take(rest, now_ms)
            rest -= taken
            if taken:
                left_ms = min(left_ms, expires_ms - now_ms)
            if not lots.lots:
                del self.borrowed[demand.team]
        bucket = self.buckets[demand.team]
        bucket.take(rest, self._lowest_share(bucket), now_ms)
        missing = demand.needed - amount
        wait_ms = 0.0
        if missing > 0.0:
            left = self._available(bucket)
            wait_ms = self.wait_ms(demand.team, max(0.0, missing - left))
        return _messages.Grant(demand.team, amount, left_ms, wait_ms)

    def _available(self, bucket: _token_bucket.TokenBucket) -> float:
        """Return the tokens of a bucket and its pool, up to the last ``advance``."""
        bucket.settle(self.share_ms, self.delegations.total)
        return bucket.available(self._lowest_share(bucket), self.at_ms)

    def _lowest_share(self, bucket: _token_bucket.TokenBucket) -> float:
        return self.lowest[bucket.limit.covered_ms].read(self.at_ms)

    def _keep_lowest_shares(self, times_ms: Iterable[float], now_ms: float) -> None:
        """Keep the lowest sums of shares in ``times_ms``, and no others."""
        kept = {}
        for covered_ms in times_ms:
            lowest = self.lowest.get(covered_ms)
            if lowest is None:
                lowest = _lowest_share.LowestShare(covered_ms, now_ms)
                lowest.record(self.delegations.total, now_ms)
            kept[covered_ms] = lowest
        self.lowest = kept

    def _settle_after_change(self, before: float) -> None:
        """Settle all buckets if the sum of the shares was ``before`` and has changed.

        Up to now, none could hold more than its part of the lower sum.
        """
        total = self.delegations.total
        if total != before:
            for bucket in self.buckets.values():
                bucket.settle(self.share_ms, min(before, total))
            for lowest in self.lowest.values():
                lowest.record(total, self.at_ms)
