"""A service that a route leads to."""

import attrs


@attrs.frozen
class Destination:
    """One of a route's services and its share of the requests."""

    service: str

    weight: int = 1
    """Share of the requests, relative to the other destinations of the route."""
