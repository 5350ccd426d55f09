"""Distribution of requests among the destinations of a route."""

from collections.abc import Sequence

from jujubetiller.routes import _destination


class WeightedChoice:
    """Gives each destination its share in every short run of requests.

    Each choice adds the weights to the credits and selects the largest credit, so
    that after any number of choices no destination is a whole request off its
    share (smooth weighted round robin). ``start`` shifts the order, so that nodes
    that start together do not choose the same destinations.

    >>> choice = WeightedChoice(
    ...     [_destination.Destination("a", 2), _destination.Destination("b", 1)]
    ... )
    >>> "".join(choice.next_service() for _ in range(6))
    'abaaba'
    """

    def __init__(
        self, destinations: Sequence[_destination.Destination], start: int = 0
    ) -> None:
        self.destinations = tuple(destinations)
        self.total = sum(destination.weight for destination in destinations)
        self.credits = [0] * len(self.destinations)
        for _ in range(start % self.total if self.total else 0):
            self.next_service()

    def next_service(self) -> str:
        """Return the service of the next request."""
        best = 0
        for index, destination in enumerate(self.destinations):
            self.credits[index] += destination.weight
            if self.credits[index] > self.credits[best]:
                best = index
        self.credits[best] -= self.total
        return self.destinations[best].service
