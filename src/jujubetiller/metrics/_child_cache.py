"""A cache of the children of a labelled metric."""

from typing import Any

OTHER = "other"


class ChildCache:
    """Caches the children of a metric by label values and limits their number.

    ``labels()`` of prometheus_client validates its arguments and takes a lock on
    every call; a lookup in this cache does neither. Combinations of label values
    beyond the first ``highest`` share one child whose labels are all ``other``,
    because label values that come from tickets have no fixed set.
    """

    def __init__(self, metric: Any, label_count: int, highest: int) -> None:
        self.metric = metric
        self.highest = highest
        self.other = metric.labels(*([OTHER] * label_count))
        self.children: dict[tuple[str, ...], Any] = {}

    def get(self, *values: str) -> Any:
        """Return the child with the label values ``values``."""
        child = self.children.get(values)
        if child is None:
            if len(self.children) >= self.highest:
                return self.other
            child = self.children[values] = self.metric.labels(*values)
        return child
