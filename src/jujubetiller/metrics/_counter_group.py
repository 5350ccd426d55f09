"""Counters that a component of the node keeps itself."""

from collections.abc import Callable, Mapping

import attrs


@attrs.frozen
class CounterGroup:
    """The counters of one component, read at each scrape.

    They become one metric, ``jujubetiller_<name>``, with the label ``event``.
    """

    name: str
    meaning: str

    read: Callable[[], Mapping[str, float]]
    """Returns the current values by event."""

    is_counter: bool = True
    """False for values that can decrease, which are exported as gauges."""
