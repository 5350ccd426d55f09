"""The decision which requests an entry node admits."""

import enum
import math
import random

import attrs
import logbook

from jujubetiller import clock
from jujubetiller.admission import _allocate, _cost_table, _load_reports

_LOG = logbook.Logger("jujubetiller.admission")

INTERVAL_MS = 200.0

GAIN = 0.6
"""Part of the difference to the fraction that the reports call for, by which a fraction
moves in an interval."""

REPORT_LAG_MS = 600.0
"""Usual time until reports show the effect of a changed fraction: nested calls leave
while their request runs, and reports average over windows. A factor is applied to the
fraction at that time; applied to the present one, it would act more than once."""

RECOVERY_FACTOR = 1.2
"""Factor by which the fraction of a service without a recent report grows in each
interval, so that it is back at 1 within seconds."""

MAX_RECOVERY_STEPS = 20.0
"""A node without requests for long need not compute larger powers."""

FULL_FRACTION = 0.995

CONVERGENCE = 0.01
"""Part of the refused share that is admitted again in each interval. Without it, entry
nodes that started with different fractions would keep them, as all of them multiply
by the same factors."""

MIN_FRACTION = 0.02

FLOOR_PART = 0.4
"""Minimum share of each route and team, relative to the admitted share of all requests.
It exceeds the required quarter because some admitted requests fail."""

RATE_WEIGHT = 0.08
"""Weight of one interval in the rates of offers. With a much higher one, the rate of a
team with one or two requests a second would exceed its fair part now and then."""

MIN_PER_S = 0.02
"""Requests of a route and team below this rate are forgotten."""

MAX_KEYS = 4_096
"""Routes and teams; further teams of a class are treated as one."""

LOG_INTERVAL_MS = 1_000.0

_OTHER_TEAMS = "\n"
"""Stands, with a class, for the teams over the bound; no team has this name."""

_RARE_TEAM = "\r"
"""Stands, with a class, for a team with hardly any requests; no team has this name."""

_RARE_PER_S = 1e-6


class Decision(enum.Enum):
    """Whether a request is admitted."""

    ADMIT = "admit"
    REFUSE = "refuse"

    UNKNOWN = "unknown"
    """The costs of the route are not known."""


@attrs.define
class _Offered:
    """The requests of one route and team."""

    priority_class: int
    count: int = 0
    per_s: float = 0.0
    share: float = 1.0
    credit: float = 0.0
    """Admitted shares that were not used yet; a request uses 1."""


class EntryAdmission:
    """Admits whole requests by class and by cost at the services that are full.

    For each service with a recent load factor, the admitted fraction of the offered
    cost is moved by the factor in each interval. ``share_of`` and ``fractions`` may be
    read at any time.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        random_source: random.Random,
        costs: _cost_table.CostTable,
        reports: _load_reports.LoadReports,
    ) -> None:
        self.clock = time_source
        self.random = random_source
        self.costs = costs
        self.reports = reports
        self.fractions: dict[str, float] = {}
        """Services of which less than all offered cost is admitted."""

        self.lagged: dict[str, float] = {}
        """The fractions that the reports are about."""

        self.offered: dict[tuple[str, str], _Offered] = {}
        self.rare_shares: dict[tuple[str, int], float] = {}
        """Shares of requests of rare teams, by route and class. Their own rates are
        forgotten between two requests, and there may be many of them."""

        self.advanced_at_ms = time_source.now_ms()
        self.logged_at_ms = -math.inf
        self.refused = 0
        self.over_bound = 0

    def decide(self, route: str, priority_class: int, team: str) -> Decision:
        """Decide about the next request of ``route`` and ``team``."""
        self.advance()
        found = self.offered.get((route, team))
        if found is None:
            found = self._add(route, priority_class, team)
        found.priority_class = priority_class
        found.count += 1
        if self.costs.find(route) is None:
            return Decision.UNKNOWN
        if found.share >= 1.0:
            return Decision.ADMIT
        found.credit += found.share
        if found.credit >= 1.0:
            found.credit -= 1.0
            return Decision.ADMIT
        self.refused += 1
        return Decision.REFUSE

    def share_of(self, route: str, team: str) -> float:
        """Return the share of requests that is admitted."""
        found = self.offered.get((route, team))
        return found.share if found is not None else 1.0

    def advance(self) -> None:
        """Compute the shares again, if the interval is over."""
        elapsed_ms = self.clock.now_ms() - self.advanced_at_ms
        if elapsed_ms < INTERVAL_MS:
            return
        self.advanced_at_ms += elapsed_ms
        self._measure(elapsed_ms)
        self._move_fractions(elapsed_ms)
        self._compute_shares()
        self._log_if_due()

    def _add(self, route: str, priority_class: int, team: str) -> _Offered:
        if len(self.offered) >= MAX_KEYS:
            self.over_bound += 1
            team = f"{_OTHER_TEAMS}{priority_class}"
            if (route, team) not in self.offered:
                self.offered.pop(next(iter(self.offered)))
        # Random, so that the first requests of many rare routes are not all refused.
        return self.offered.setdefault(
            (route, team),
            _Offered(
                priority_class,
                share=self.rare_shares.get((route, priority_class), 1.0),
                credit=self.random.random(),
            ),
        )

    def _measure(self, elapsed_ms: float) -> None:
        weight = 1.0 - (1.0 - RATE_WEIGHT) ** (elapsed_ms / INTERVAL_MS)
        for key, found in list(self.offered.items()):
            found.per_s += weight * (found.count * 1_000.0 / elapsed_ms - found.per_s)
            found.count = 0
            if found.per_s < MIN_PER_S:
                del self.offered[key]

    def _move_fractions(self, elapsed_ms: float) -> None:
        factors = self.reports.read()
        steps = elapsed_ms / INTERVAL_MS
        moved = 1.0 - (1.0 - GAIN) ** steps
        lag_weight = 1.0 - math.exp(-elapsed_ms / REPORT_LAG_MS)
        for service in self.fractions.keys() | factors.keys():
            fraction = self.fractions.get(service, 1.0)
            lagged = self.lagged.get(service, 1.0)
            if service in factors:
                wanted = min(lagged * factors[service], 1.0)
                fraction += moved * (wanted - fraction)
            else:
                fraction *= RECOVERY_FACTOR ** min(steps, MAX_RECOVERY_STEPS)
            fraction += CONVERGENCE * min(steps, 1.0) * (1.0 - fraction) * fraction
            fraction = min(max(fraction, MIN_FRACTION), 1.0)
            lagged += lag_weight * (fraction - lagged)
            if fraction > FULL_FRACTION and lagged > FULL_FRACTION:
                self.fractions.pop(service, None)
                self.lagged.pop(service, None)
            else:
                self.fractions[service] = fraction
                self.lagged[service] = lagged

    def _compute_shares(self) -> None:
        total = sum(found.per_s for found in self.offered.values())
        admitted = sum(found.per_s * found.share for found in self.offered.values())
        floor = FLOOR_PART * (admitted / total if total else 1.0)
        for found in self.offered.values():
            found.share = 1.0
        self.rare_shares = {}
        # Teams of one route may have different classes. The class is a part of the
        # name, because shares are returned by route and team.
        rare = {
            (route, f"{_RARE_TEAM}{one.priority_class}"): (route, one.priority_class)
            for (route, _), one in self.offered.items()
        }
        for service, fraction in self.fractions.items():
            offers = _allocate.drop_negligible(self._list_offers(service, rare))
            shares = _allocate.allocate(offers, fraction, floor)
            self._apply_shares(shares, rare)

    def _list_offers(
        self, service: str, rare: dict[tuple[str, str], tuple[str, int]]
    ) -> list[_allocate.Offer]:
        """Return the offers of requests that use ``service``, those of ``rare`` first.

        ``rare`` has the route and class of rare teams by route and name.
        """
        offers = [
            self._make_offer(service, key, priority_class, _RARE_PER_S)
            for key, (_, priority_class) in rare.items()
        ]
        offers += [
            self._make_offer(service, key, found.priority_class, found.per_s)
            for key, found in self.offered.items()
        ]
        return [offer for offer in offers if offer.cost_ms > 0.0]

    def _make_offer(
        self, service: str, key: tuple[str, str], priority_class: int, per_s: float
    ) -> _allocate.Offer:
        """Return the offer of a route and team, with cost 0 if it is not known."""
        route, team = key
        cost_ms = (self.costs.find(route) or {}).get(service, 0.0)
        return _allocate.Offer(route, team, priority_class, per_s, cost_ms)

    def _apply_shares(
        self,
        shares: dict[tuple[str, str], float],
        rare: dict[tuple[str, str], tuple[str, int]],
    ) -> None:
        """Lower the shares of requests to those that one service allows."""
        for key, share in shares.items():
            if key in rare:
                known = self.rare_shares.get(rare[key], 1.0)
                self.rare_shares[rare[key]] = min(known, share)
            else:
                self.offered[key].share = min(self.offered[key].share, share)

    def _log_if_due(self) -> None:
        now_ms = self.clock.now_ms()
        if not self.fractions or now_ms - self.logged_at_ms < LOG_INTERVAL_MS:
            return
        self.logged_at_ms = now_ms
        lowest = sorted(self.offered.items(), key=lambda item: item[1].share)[:8]
        _LOG.info(
            "requests are admitted by cost",
            extra={
                "fractions": {n: round(f, 3) for n, f in self.fractions.items()},
                "factors": {n: round(f, 3) for n, f in self.reports.read().items()},
                "lowest_shares": [
                    {
                        "route": route,
                        "team": team,
                        "class": found.priority_class,
                        "per_s": round(found.per_s, 2),
                        "share": round(found.share, 3),
                    }
                    for (route, team), found in lowest
                ],
                "refused": self.refused,
            },
        )
