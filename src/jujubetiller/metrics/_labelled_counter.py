"""A counter with labels."""

from collections.abc import Iterable

OTHER = "other"


class LabelledCounter:
    """Counts events by label values and limits the number of combinations.

    Combinations of label values beyond the first ``highest`` are counted together
    under labels that are all ``other``, because label values that come from tickets
    have no fixed set.
    """

    def __init__(
        self,
        name: str,
        meaning: str,
        labels: tuple[str, ...],
        highest: int,
        initial: Iterable[tuple[str, ...]] = (),
    ) -> None:
        self.name = name
        self.meaning = meaning
        self.labels = labels
        self.highest = highest
        self.others = (OTHER,) * len(labels)
        self.values: dict[tuple[str, ...], float] = dict.fromkeys(initial, 0.0)
        """Counts by label values; ``initial`` ones are exported before they occur."""

    def add(self, labels: tuple[str, ...], number: float = 1.0) -> None:
        """Count ``number`` events with the label values ``labels``."""
        values = self.values
        if labels not in values and len(values) >= self.highest:
            labels = self.others
        values[labels] = values.get(labels, 0.0) + number
