"""Hop-by-hop headers, which apply to one connection only and are not forwarded."""

from collections.abc import Iterable, Set

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)


def find_hop_by_hop(connection_values: Iterable[str]) -> Set[str]:
    """Return the names of hop-by-hop headers, with those listed in ``Connection``."""
    named = ",".join(connection_values).lower()
    if not named:
        return _HOP_BY_HOP
    return _HOP_BY_HOP.union(name.strip() for name in named.split(","))
