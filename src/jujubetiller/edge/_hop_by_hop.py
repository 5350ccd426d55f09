"""Headers that concern only one connection."""

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
    """Return the names of these headers, with those that ``Connection`` names."""
    named = ",".join(connection_values).lower()
    if not named:
        return _HOP_BY_HOP
    return _HOP_BY_HOP.union(name.strip() for name in named.split(","))
