"""The rank above which calls to the target are refused."""

from jujubetiller.limits import _rank

_MIN_COUNT = 0.05
_MAX_RANKS = 4_096


class RefusalLevel:
    """Computes the level, above which entry nodes refuse calls, from call counts.

    Counts are multiplied by ``decay_factor`` after each window instead of being
    cleared: a target with few slots gets only some ten calls per window, too few for a
    stable level.

    After a window with refusals, the level is the rank up to which the offered
    calls, in order of rank, would have fitted, but at most ``min_step`` ranks above
    the previous level: entry nodes let few calls above that level pass, and room for
    these does not show that there is room for all calls of their ranks. After a window
    without refusals, the level rises by a step that doubles with every further such
    window, until it is above all ranks that were refused; from then on there is none.

    The level admits ``headroom`` times as many calls as started, because the queue in
    front of the target chooses better between calls than entry nodes do, whose
    knowledge of the load is older.
    """

    def __init__(
        self,
        window_ms: float = 100.0,
        min_step: int = _rank.RANKS_PER_CLASS // 8,
        decay_factor: float = 0.7,
        headroom: float = 2.0,
    ) -> None:
        self.window_ms = window_ms
        self.min_step = min_step
        self.step = min_step
        self.decay_factor = decay_factor
        self.headroom = headroom
        self.level: int | None = None
        self.window_ends_ms = 0.0
        self.offered: dict[int, float] = {}
        self.uncounted_offers = 0
        self.started = 0.0
        self.refused_in_window = 0
        self.highest_refused_rank = 0

    def record_offer(self, rank: int) -> None:
        """Count a call that needs a slot."""
        count = self.offered.get(rank)
        if count is None:
            if len(self.offered) >= _MAX_RANKS:
                self.uncounted_offers += 1
                return
            count = 0.0
        self.offered[rank] = count + 1.0

    def record_start(self) -> None:
        """Count a call that got a slot."""
        self.started += 1.0

    def record_refusal(self, rank: int) -> None:
        """Count a call that was refused because of load."""
        self.refused_in_window += 1
        if rank > self.highest_refused_rank:
            self.highest_refused_rank = rank

    def advance(self, now_ms: float) -> None:
        """End the window if its time is over."""
        if now_ms < self.window_ends_ms:
            return
        if self.refused_in_window:
            self._lower_level()
        elif self.level is not None:
            self._raise_level()
        self.window_ends_ms = now_ms + self.window_ms
        self._apply_decay()
        self.refused_in_window = 0

    def _lower_level(self) -> None:
        self.step = self.min_step
        remaining = self.headroom * self.started
        level = -1
        for rank in sorted(self.offered):
            remaining -= self.offered[rank]
            if remaining < 0:
                break
            level = rank
        if self.level is not None:
            level = min(level, self.level + self.min_step)
        # Rank 0, the most important one, is never announced as refused: its calls may
        # always be sent.
        self.level = max(level, 0)

    def _raise_level(self) -> None:
        assert self.level is not None
        self.level += self.step
        self.step *= 2
        if self.level > self.highest_refused_rank:
            self.level = None
            self.highest_refused_rank = 0

    def _apply_decay(self) -> None:
        self.started *= self.decay_factor
        if not self.offered:
            return
        self.offered = {
            rank: count * self.decay_factor
            for rank, count in self.offered.items()
            if count > _MIN_COUNT
        }
