"""Guards against requests on a wrong route and destinations with a wrong share."""

import collections

import pytest

from jujubetiller import routes


def make_route(name: str, host: str, prefix: str) -> routes.Route:
    return routes.Route(
        name, host, prefix, (routes.Destination("s"),), True, 1000.0, 500.0, 2, 0
    )


TABLE = routes.RouteTable(
    (
        make_route("short", "a.example", "/x/"),
        make_route("long", "a.example", "/x/y/"),
        make_route("other", "b.example", "/x/"),
        make_route("root", "c.example", "/"),
    )
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/1", "short"),
        ("a.example", "/x/y/1", "long"),
        ("a.example", "/x/y", "short"),
        ("a.example", "/x/y/", "long"),
        ("A.Example:80", "/x/1?next=/x/y/z", "short"),
        ("a.example", "/xy/1", None),
        ("a.example", "/x", None),
        ("b.example", "/x/y/1", "other"),
        ("c.example", "/any/thing", "root"),
        ("d.example", "/x/1", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(
    host: str, path: str, name: str | None
) -> None:
    found = TABLE.find(host, path)
    assert (found.name if found else None) == name


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (3, 2), (50, 0, 50)])
@pytest.mark.parametrize("start", [0, 7, 12_345])
def test_every_run_of_requests_is_split_by_weight(
    weights: tuple[int, ...], start: int
) -> None:
    names = "abc"[: len(weights)]
    destinations = [
        routes.Destination(name, weight)
        for name, weight in zip(names, weights, strict=True)
    ]
    choice = routes.WeightedChoice(destinations, start)
    chosen = [choice.next_service() for _ in range(200)]
    for first in range(0, 150, 10):
        counts = collections.Counter(chosen[first : first + 50])
        for destination in destinations:
            share = 50 * destination.weight / sum(weights)
            assert abs(counts[destination.service] - share) <= 2
