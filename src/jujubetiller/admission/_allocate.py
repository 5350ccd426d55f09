"""The division of what a service takes between requests."""

import itertools
from collections.abc import Iterable, Sequence

import attrs


@attrs.frozen
class Offer:
    """The requests of one route and team at this node."""

    route: str
    team: str

    priority_class: int
    """0 is the most important class."""

    per_s: float

    cost_ms: float
    """Slot-milliseconds that one request takes at the service."""

    @property
    def load(self) -> float:
        """Return the slot-milliseconds offered per second."""
        return self.per_s * self.cost_ms


NEGLIGIBLE_COST = 0.05
"""Costs below this part of the mean cost are within the error of the estimates."""


def drop_negligible(offers: Sequence[Offer]) -> list[Offer]:
    """Return the offers whose requests take a noticeable part of the service."""
    per_s = sum(offer.per_s for offer in offers)
    load = sum(offer.load for offer in offers)
    return [
        offer for offer in offers if offer.cost_ms * per_s >= NEGLIGIBLE_COST * load
    ]


def allocate(
    offers: Sequence[Offer], fraction: float, floor: float
) -> dict[tuple[str, str], float]:
    """Return the share of requests to admit, by route and team.

    ``fraction`` of the offered load is given out: first ``floor`` of each offer, then
    the rest by class. The class for which it does not suffice is divided max-min fairly
    between teams, and within a team by smaller costs first.

    >>> page = Offer("page", "", 1, 10.0, 80.0)
    >>> view = Offer("view", "", 0, 10.0, 20.0)
    >>> allocate([page, view], 0.6, 0.0)
    {('view', ''): 1.0, ('page', ''): 0.5}
    """
    floor = min(floor, fraction)
    left = (fraction - floor) * sum(offer.load for offer in offers)
    shares: dict[tuple[str, str], float] = {}
    ordered = sorted(offers, key=lambda offer: offer.priority_class)
    for _, group in itertools.groupby(ordered, lambda offer: offer.priority_class):
        members = list(group)
        by_team: dict[str, list[Offer]] = {}
        for offer in members:
            by_team.setdefault(offer.team, []).append(offer)
        wanted = {
            team: (1.0 - floor) * sum(offer.load for offer in of_team)
            for team, of_team in by_team.items()
        }
        for team, given in divide_fairly(wanted, left).items():
            shares.update(_divide_by_cost(by_team[team], given, floor))
            left -= given
        left = max(0.0, left)
    return shares


def divide_fairly(wanted: dict[str, float], total: float) -> dict[str, float]:
    """Return the max-min fair division of ``total``.

    >>> divide_fairly({"a": 10.0, "b": 2.0, "c": 9.0}, 12.0)
    {'b': 2.0, 'c': 5.0, 'a': 5.0}
    """
    given = {}
    left = total
    names = sorted(wanted, key=lambda name: wanted[name])
    for index, name in enumerate(names):
        given[name] = min(wanted[name], left / (len(names) - index))
        left -= given[name]
    return given


def _divide_by_cost(
    offers: Iterable[Offer], given: float, floor: float
) -> dict[tuple[str, str], float]:
    shares = {}
    for offer in sorted(offers, key=lambda offer: offer.cost_ms):
        wanted = (1.0 - floor) * offer.load
        taken = min(wanted, given)
        given -= taken
        shares[(offer.route, offer.team)] = (
            floor + taken / offer.load if offer.load > 0.0 else 1.0
        )
    return shares
