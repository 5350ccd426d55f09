"""Which services calls of each kind come from."""

_MOST_KINDS = 1_024

_LEAST_CALLS = 40.0
"""With fewer calls, nothing is concluded."""

_FULL_COUNT = 2_000.0
"""At this many calls, the counts of a kind are halved, so that they follow changes."""

_LEAST_SHARE = 0.25
"""A service counts as a source with this part of an equal share."""


class CallerShares:
    """Tells calls that instances make from requests of clients.

    Clients of every kind are beside the instances of all services, whereas calls
    of instances come only from beside those of the services that make them.
    """

    def __init__(self) -> None:
        self.by_kind: dict[str, dict[str, float]] = {}

    def record(self, kind: str, caller: str) -> None:
        """Count a call of ``kind`` from beside an instance of ``caller``."""
        counts = self.by_kind.get(kind)
        if counts is None:
            if len(self.by_kind) >= _MOST_KINDS:
                self.by_kind.pop(next(iter(self.by_kind)))
            counts = self.by_kind[kind] = {}
        counts[caller] = counts.get(caller, 0.0) + 1.0
        if counts[caller] > _FULL_COUNT:
            self.by_kind[kind] = {name: n / 2.0 for name, n in counts.items()}

    def is_nested(self, kind: str, service_count: int) -> bool:
        """Return whether the calls of ``kind`` come from instances.

        ``service_count`` is the number of services that have instances.
        """
        counts = self.by_kind.get(kind)
        if counts is None or service_count < 2:
            return False
        total = sum(counts.values())
        if total < _LEAST_CALLS:
            return False
        least = _LEAST_SHARE * total / service_count
        sources = sum(count >= least for count in counts.values())
        return sources <= service_count / 2
