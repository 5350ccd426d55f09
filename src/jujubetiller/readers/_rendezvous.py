"""Rendezvous hashing of the nodes of a zone."""

from collections.abc import Iterable

import xxhash


def weigh(zone: str, name: str) -> tuple[int, str]:
    """Return the weight of a node: the nodes with the highest ones read.

    All nodes compute the same weights, so they choose the same readers without any
    message as long as they know the same nodes.
    """
    return xxhash.xxh3_64_intdigest(f"{zone}\0{name}".encode()), name


def order_by_rendezvous(zone: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` by their weights, the highest first.

    >>> order_by_rendezvous("a", ["one", "two"]) == order_by_rendezvous(
    ...     "a", ["two", "one"]
    ... )
    True
    """
    return sorted(names, key=lambda name: weigh(zone, name), reverse=True)
