"""Guards against readers that take a silent connection to the store for a calm one."""

import random

import pytest

from jujubetiller import clock, published, settings

STORE = settings.StoreSettings(settings.Address("127.0.0.9", 80))
ANSWER_MS = 4


def make_freshness(
    is_primary: bool,
) -> tuple[clock.ManualClock, published.StoreFreshness]:
    """Return a reader's freshness right after its first read."""
    manual_clock = clock.ManualClock()
    freshness = published.StoreFreshness(manual_clock, random.Random(5), STORE)
    freshness.is_primary = is_primary
    assert freshness.start_watch(True) == 0
    assert freshness.record_success(False)
    return manual_clock, freshness


@pytest.mark.parametrize(
    ("case", "is_primary", "pause_ms", "longest_ms"),
    [
        ("a primary reader", True, 0, STORE.primary_wait_ms),
        ("a primary reader after a pause", True, 1_000, STORE.primary_wait_ms),
        ("a primary reader after a long pause", True, 5_000, 5_000),
        ("another reader", False, 0, STORE.watch_wait_ms),
        ("another reader after a pause", False, 1_000, STORE.watch_wait_ms + 1_000),
    ],
)
def test_a_watch_ends_within_a_time_from_the_last_read(
    case: str, is_primary: bool, pause_ms: int, longest_ms: int
) -> None:
    """Guards against a pause that adds to the time in which changes are missed."""
    manual_clock, freshness = make_freshness(is_primary)
    for _ in range(100):
        manual_clock.advance(pause_ms)
        wait_ms = freshness.start_watch(True)
        manual_clock.advance(wait_ms)
        assert freshness.age_ms() <= longest_ms, case
        assert freshness.age_ms() >= 0.75 * longest_ms, case
        assert not freshness.record_success(False), case


def test_a_silent_watch_is_followed_by_a_read_that_does_not_wait() -> None:
    manual_clock, freshness = make_freshness(True)
    wait_ms = freshness.start_watch(True)
    manual_clock.advance(freshness.timeout_ms(wait_ms))
    freshness.record_silence(wait_ms)
    assert freshness.start_watch(True) == 0
    assert freshness.timeout_ms(0) == STORE.answer_timeout_ms
    assert not freshness.is_down


@pytest.mark.parametrize(
    ("is_primary", "may_have_been_down"), [(True, False), (False, True)]
)
def test_a_silent_watch_may_have_been_an_outage_if_it_lasted(
    is_primary: bool, may_have_been_down: bool
) -> None:
    """Guards against final removals of entries that expired in an unnoticed outage."""
    manual_clock, freshness = make_freshness(is_primary)
    wait_ms = freshness.start_watch(True)
    manual_clock.advance(freshness.timeout_ms(wait_ms))
    freshness.record_silence(wait_ms)
    manual_clock.advance(ANSWER_MS)
    assert freshness.record_success(False) == may_have_been_down
    assert (freshness.recovered_at_ms == manual_clock.now_ms()) == may_have_been_down
    assert freshness.start_watch(True) > 0


def test_a_reader_whose_read_after_a_silent_watch_fails_is_not_current() -> None:
    """Guards against nodes that rely on a reader which is cut off from the store."""
    manual_clock, freshness = make_freshness(True)
    wait_ms = freshness.start_watch(True)
    manual_clock.advance(freshness.timeout_ms(wait_ms))
    freshness.record_silence(wait_ms)
    assert not freshness.is_overdue()
    manual_clock.advance(freshness.timeout_ms(0))
    assert freshness.is_overdue()
    freshness.record_failure("silent")
    assert freshness.is_down
    assert freshness.record_success(False)


def test_a_reader_that_becomes_primary_does_not_keep_its_long_watch() -> None:
    manual_clock, freshness = make_freshness(False)
    freshness.start_watch(True)
    assert not freshness.waits_too_long()
    manual_clock.advance(STORE.watch_wait_ms / 2.0)
    freshness.is_primary = True
    assert freshness.waits_too_long()
    freshness.record_success(False)
    freshness.start_watch(True)
    manual_clock.advance(500.0)
    assert not freshness.waits_too_long()
