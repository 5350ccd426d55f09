"""A nested call as a sample of a fit."""

import attrs


@attrs.frozen
class WeightedCall:
    """A call with its weight and the numbers of running requests by kind."""

    weight: float
    running: dict[str, int]
