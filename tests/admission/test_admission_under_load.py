"""Guards against admitted requests that fail deep in the call graph, and needless ones.

The model plays the nodes' own guards, estimators, load factors and entry decisions.
"""

import pytest

from tests.admission import load_model

NARROW = "roster"
WARM_SECONDS = 15.0


def warm(by_cost: bool = True, seed: int = 7) -> load_model.Site:
    """Return a site that has played less than its capacity."""
    site = load_model.Site(by_cost, seed)
    site.play(WARM_SECONDS, load_model.USUAL_LOAD, 0.7)
    return site


def served_part(site: load_model.Site) -> float:
    """Return the served part of all requests."""
    return site.served.total() / site.offered.total()


def check_floor(site: load_model.Site) -> None:
    """Check that each kind is served at a quarter of the served part of all."""
    for kind, team in site.offered:
        assert site.share(kind, team) >= 0.25 * served_part(site), kind


@pytest.mark.parametrize(("factor", "min_pages"), [(1.2, 0.75), (1.5, 0.5)])
def test_overload_costs_pages_less_than_by_delay(
    factor: float, min_pages: float
) -> None:
    sites = {by_cost: warm(by_cost) for by_cost in (True, False)}
    for site in sites.values():
        site.play(3.0, load_model.USUAL_LOAD, factor)
        site.play(12.0, load_model.USUAL_LOAD, factor)
    site = sites[True]
    assert site.share("view") >= 0.97
    assert site.share("claim") >= 0.97
    assert site.share("page") >= min_pages
    assert site.served["page", ""] >= 0.95 * site.admitted["page", ""]
    check_floor(site)
    assert site.share("page") >= 2.0 * sites[False].share("page")
    wasted = {
        by_cost: sum((one.admitted - one.served).values())
        for by_cost, one in sites.items()
    }
    assert wasted[True] < 0.25 * wasted[False]


def test_burst_of_the_least_important_kind_leaves_others_alone() -> None:
    site = warm()
    burst = tuple(
        load_model.Offer(
            offer.kind,
            offer.priority_class,
            offer.per_s * (2.3 if offer.kind == "certificate" else 1.0),
        )
        for offer in load_model.USUAL_LOAD
    )
    site.play(6.0, burst, 0.95)
    assert site.share("view") >= 0.97
    assert site.share("claim") >= 0.97
    assert site.share("page") >= 0.85
    check_floor(site)
    site.play(4.0, load_model.USUAL_LOAD, 0.7)
    site.play(4.0, load_model.USUAL_LOAD, 0.7)
    assert site.share("certificate") >= 0.9


def test_hot_team_gets_no_more_than_its_fair_part() -> None:
    site = warm()
    load = (
        load_model.Offer("view", 0, 150.0),
        load_model.Offer("page", 1, 120.0, "hot"),
        load_model.Offer("page", 1, 25.0, "first"),
        load_model.Offer("page", 1, 25.0, "second"),
    )
    site.play(4.0, load, 1.0)
    site.play(10.0, load, 1.0)
    for team in ("first", "second"):
        assert site.share("page", team) >= 0.9
    # The hot team gets what the others leave, which is more than a third.
    assert 0.35 <= site.share("page", "hot") <= 0.8


def test_halved_capacity_costs_the_least_important_and_comes_back() -> None:
    site = warm()
    site.play(2.0, load_model.USUAL_LOAD, 0.9)
    for node in site.by_service[NARROW]:
        node.slowness = 2.0
    site.play(3.0, load_model.USUAL_LOAD, 0.9)
    site.play(5.0, load_model.USUAL_LOAD, 0.9)
    assert site.share("view") >= 0.95
    assert site.share("claim") >= 0.95
    assert site.share("page") >= 0.2
    for node in site.by_service[NARROW]:
        node.slowness = 1.0
    site.play(4.0, load_model.USUAL_LOAD, 0.7)
    site.play(4.0, load_model.USUAL_LOAD, 0.7)
    assert site.share("page") >= 0.9
    assert site.share("certificate") >= 0.9


def test_target_that_sheds_half_is_not_starved() -> None:
    site = warm()
    for node in site.by_service[NARROW]:
        node.shed_share = 0.5
    site.play(6.0, load_model.USUAL_LOAD, 0.7)
    # One lookup of two is shed, however few are sent.
    assert site.share("view") >= 0.4
    assert site.share("claim") >= 0.97
    for node in site.by_service[NARROW]:
        node.shed_share = 0.0
    site.play(5.0, load_model.USUAL_LOAD, 0.7)
    site.play(4.0, load_model.USUAL_LOAD, 0.7)
    assert site.share("page") >= 0.9


def test_fractions_return_when_reports_stop() -> None:
    site = warm()
    site.play(6.0, load_model.USUAL_LOAD, 1.5)
    entries = [node.admission.entry for node in site.nodes if node.admission]
    assert min(entry.fractions.get(NARROW, 1.0) for entry in entries) < 0.8
    site.has_reports = False
    site.play(5.0, load_model.USUAL_LOAD, 0.7)
    assert not any(entry.fractions for entry in entries)


def test_no_request_is_refused_below_capacity() -> None:
    site = warm()
    site.play(10.0, load_model.USUAL_LOAD, 0.7)
    assert site.admitted.total() >= 0.995 * site.offered.total()
