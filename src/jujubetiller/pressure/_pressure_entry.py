"""The pressure level of one service and kind."""

import attrs

from jujubetiller import limits


@attrs.define
class PressureEntry:
    """A level that rises over time and that reports move up or down.

    ``floor`` and ``ceiling`` are the bounds of the priority classes of the calls
    that asked for admission. The level stays between them, so that a report far
    below the ranks in use does not delay their admission after the pressure ends.
    """

    level: float
    changed_at_ms: float

    reopen_ms: float
    """Time in which the level rises from ``floor`` to ``ceiling`` without reports."""

    source_service: str
    """The service that last reported pressure."""

    ceiling: float
    floor: float | None = None
    next_probe_ms: float = 0.0

    def include_rank(self, rank: int) -> None:
        """Widen the bounds to the priority class of a call that asks for admission."""
        class_start = rank - rank % limits.RANKS_PER_CLASS
        if self.floor is None or class_start - 1 < self.floor:
            self.floor = class_start - 1.0
        self.ceiling = max(self.ceiling, class_start + limits.RANKS_PER_CLASS - 1.0)
        self.level = max(self.level, self.floor)

    def rise(self, now_ms: float) -> None:
        """Raise the level in proportion to the time since the last change."""
        width = self.ceiling - (-1.0 if self.floor is None else self.floor)
        self.level += width * (now_ms - self.changed_at_ms) / self.reopen_ms
        self.changed_at_ms = now_ms

    def move_towards(self, reported: float, weight: float) -> None:
        """Move the level by the share ``weight`` of the distance to a reported one."""
        reported = min(reported, self.ceiling)
        if self.floor is not None:
            reported = max(reported, self.floor)
        self.level += weight * (reported - self.level)
