"""A team that sends requests."""

import attrs


@attrs.frozen
class Team:
    """A team with its keys, its priority and its quota."""

    name: str

    key_digests: frozenset[bytes]
    """Digests of the API keys that the team may use, see ``digest_key``."""

    priority_class: int = 0
    """0 is the most important class. It goes before the classes of routes."""

    rate_per_s: float = 0.0
    """Requests a second that the team may send through all nodes; 0 for no limit."""

    burst: float = 0.0
    """Requests beyond the rate that the team may send at once."""
