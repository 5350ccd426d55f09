"""A value that is read at each scrape."""

from collections.abc import Callable

import attrs


@attrs.frozen
class Gauge:
    """A value that may increase and decrease."""

    name: str
    meaning: str
    read: Callable[[], float]
