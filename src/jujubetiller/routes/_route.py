"""A rule for the requests under one path prefix of a host."""

import attrs

from jujubetiller.routes import _destination


@attrs.frozen
class Route:
    """Where the requests under a prefix go, and what they are worth."""

    name: str
    host: str

    prefix: str
    """Begins and ends with a slash."""

    destinations: tuple[_destination.Destination, ...]
    idempotent: bool

    timeout_ms: float
    """The longest time that a request may be kept waiting."""

    latency_objective_ms: float
    """The time within which an answer is of full use."""

    max_attempts: int
    """The largest number of instances that one request may reach."""

    priority_class: int
    """0 is the most important class."""
