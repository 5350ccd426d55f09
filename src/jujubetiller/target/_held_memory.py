"""The memory that all responses in progress occupy."""

from collections.abc import Callable

import attrs


@attrs.define
class HeldMemory:
    """The sum over the connections to one target."""

    held_bytes: int = 0

    has_room: Callable[[int], bool] = lambda count: True
    """Whether the node may hold ``count`` bytes more."""
