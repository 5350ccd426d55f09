"""A rule for the requests under one path prefix of a host."""

import attrs

from jujubetiller.routes import _destination


@attrs.frozen
class Route:
    """The destinations, times and priority of the requests under a path prefix."""

    name: str
    host: str

    prefix: str
    """Begins and ends with a slash."""

    destinations: tuple[_destination.Destination, ...]
    idempotent: bool

    timeout_ms: float
    """The longest time until a request is answered."""

    latency_objective_ms: float
    """The time within which an answer counts as on time."""

    max_attempts: int
    """The largest number of instances that one request may reach."""

    priority_class: int
    """0 is the most important class."""

    is_public: bool = False
    """Whether requests need no API key although the configuration has teams."""
