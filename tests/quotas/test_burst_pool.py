"""Guards against bursts that are granted twice when shares pass between nodes."""

import hypothesis
import hypothesis.strategies as st

from jujubetiller.quotas import _burst_pool, _lowest_share

COVERED_MS = 6_000.0
SIZE = 100.0

Step = tuple[float, int, float]


class Holder:
    """A node that grants from the pool of one team by its shares."""

    def __init__(self) -> None:
        self.pool = _burst_pool.BurstPool(COVERED_MS)
        self.lowest = _lowest_share.LowestShare(COVERED_MS, 0.0)

    def take(self, amount: float, now_ms: float) -> float:
        return self.pool.take(amount, now_ms, SIZE * self.lowest.read(now_ms))


def find_most_in_a_window(grants: list[tuple[float, float]]) -> float:
    """Return the most that was granted in any time shorter than ``COVERED_MS``."""
    sums = [
        sum(amount for at_ms, amount in grants if start <= at_ms < start + COVERED_MS)
        for start, _ in grants
    ]
    return max(sums, default=0.0)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.floats(0.0, 3_000.0), st.integers(0, 2), st.floats(0.0, 1.2 * SIZE)
        ),
        max_size=60,
    )
)
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_a_share_that_passes_between_nodes_is_granted_once(steps: list[Step]) -> None:
    """In each step time passes, the share goes to a node (or to none), all grant."""
    holders = [Holder(), Holder()]
    grants: list[tuple[float, float]] = []
    now_ms = 0.0
    for pause_ms, owner, amount in steps:
        now_ms += pause_ms
        for index, holder in enumerate(holders):
            holder.lowest.record(float(index == owner), now_ms)
        grants += [(now_ms, holder.take(amount, now_ms)) for holder in holders]
    assert find_most_in_a_window(grants) <= SIZE + 1e-6


def test_the_whole_burst_is_there_again_after_the_window() -> None:
    holder = Holder()
    holder.lowest.record(0.5, 0.0)
    assert holder.take(SIZE, 5_999.0) == 0.0
    assert holder.take(SIZE, 6_000.0) == SIZE / 2
    assert holder.take(SIZE, 11_999.0) == 0.0
    assert holder.take(SIZE, 12_051.0) == SIZE / 2


def test_a_share_that_falls_takes_effect_at_once() -> None:
    holder = Holder()
    holder.lowest.record(1.0, 0.0)
    holder.lowest.record(0.25, 7_000.0)
    assert holder.take(SIZE, 7_000.0) == SIZE / 4
    holder.lowest.record(1.0, 7_001.0)
    assert holder.take(SIZE, 13_000.0) == 0.0
    assert holder.take(SIZE, 13_100.0) == SIZE
