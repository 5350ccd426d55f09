"""A comparison of two limits by the run times of calls."""

import attrs


@attrs.define
class LimitTrial:
    """Relative run times of windows that alternate between two limits.

    The first window is one with the higher limit.
    """

    high: float
    low: float
    high_ratios: list[float] = attrs.Factory(list)
    """Relative run times of the windows with the higher limit, the latest last."""

    low_ratios: list[float] = attrs.Factory(list)
    """Those with the lower limit, of which there are as many or one fewer."""

    def add(self, ratio: float) -> None:
        """Add the relative run time of the next window."""
        ratios = self.low_ratios if self.is_low_next() else self.high_ratios
        ratios.append(ratio)

    def is_low_next(self) -> bool:
        """Return whether the next window is one with the lower limit."""
        return len(self.low_ratios) < len(self.high_ratios)

    def latest_gain(self) -> float:
        """Return what throughput gained by the higher limit in the last two windows.

        The unit is the share of calls that the higher limit has more, so 1 stands for
        throughput in proportion to the limit.

        >>> LimitTrial(8.0, 6.0, [2.0], [2.0]).latest_gain()
        1.0
        >>> LimitTrial(8.0, 6.0, [2.0], [1.5]).latest_gain()
        0.0
        """
        return self._gain(self.high_ratios[-1], self.low_ratios[-1])

    def mean_gain(self) -> float:
        """Return the mean gain over the pairs of windows."""
        pairs = list(zip(self.high_ratios, self.low_ratios, strict=True))
        return sum(self._gain(*pair) for pair in pairs) / len(pairs)

    def _gain(self, high_ratio: float, low_ratio: float) -> float:
        more = self.high / self.low
        return (more * low_ratio / high_ratio - 1.0) / (more - 1.0)
