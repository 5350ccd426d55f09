"""Which services calls of each kind come from."""

_MAX_KINDS = 1_024

_MIN_CALLS = 40.0
"""With fewer calls, a kind counts as not nested."""

_HALVING_COUNT = 2_000.0
"""Above this many calls of one kind from one service, the counts of the kind are
halved, so that they follow changes."""

_MIN_SOURCE_SHARE = 0.25
"""A service counts as a source of a kind if its share of the calls is at least this
part of an equal share."""


class CallerShares:
    """Distinguishes calls that instances make from requests of clients.

    Requests of clients enter at the nodes of all services, whereas calls of
    instances enter only at the nodes of the services that make them.
    """

    def __init__(self) -> None:
        self.by_kind: dict[str, dict[str, float]] = {}

    def record(self, kind: str, caller: str) -> None:
        """Count a call of ``kind`` that entered at a node of the service ``caller``."""
        counts = self.by_kind.get(kind)
        if counts is None:
            if len(self.by_kind) >= _MAX_KINDS:
                self.by_kind.pop(next(iter(self.by_kind)))
            counts = self.by_kind[kind] = {}
        counts[caller] = counts.get(caller, 0.0) + 1.0
        if counts[caller] > _HALVING_COUNT:
            self.by_kind[kind] = {name: n / 2.0 for name, n in counts.items()}

    def is_nested(self, kind: str, service_count: int) -> bool:
        """Return whether the calls of ``kind`` come from instances.

        That holds when at most half of the services are sources. ``service_count`` is
        the number of services that have instances.
        """
        counts = self.by_kind.get(kind)
        if counts is None or service_count < 2:
            return False
        total = sum(counts.values())
        if total < _MIN_CALLS:
            return False
        min_count = _MIN_SOURCE_SHARE * total / service_count
        sources = sum(count >= min_count for count in counts.values())
        return sources <= service_count / 2
