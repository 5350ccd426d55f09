"""Guards against reads that count as proofs of what they do not prove."""

import math
import random

import attrs
import pytest

from jujubetiller import clock, published, settings

STORE = settings.StoreSettings(settings.Address("127.0.0.9", 80), proof_interval_ms=770)
ANSWER_MS = 4.0


def make_proofs() -> tuple[clock.ManualClock, published.StoreProofs]:
    boot_clock = clock.ManualClock(5_000.0)
    return boot_clock, published.StoreProofs(published.StateAge(boot_clock), 770)


@pytest.mark.parametrize(
    ("case", "wait_ms", "took_ms", "age_ms"),
    [
        ("a read", 0.0, 300.0, 300.0),
        ("a watch that found nothing", 1_000.0, 1_010.0, 30.0),
        ("its answer was late, and may be an early one", 1_000.0, 9_000.0, 9_000.0),
        ("the store's clock is a little fast", 1_000.0, 985.0, 5.0),
        ("the store did not wait", 1_000.0, 400.0, 400.0),
    ],
)
def test_a_read_proves_no_more_than_the_store_has_seen(
    case: str, wait_ms: float, took_ms: float, age_ms: float
) -> None:
    boot_clock, proofs = make_proofs()
    started_ms = proofs.now_ms()
    boot_clock.advance(took_ms)
    proofs.record_read(started_ms, wait_ms)
    assert proofs.state_age.age_ms() == pytest.approx(age_ms), case
    assert proofs.own_age_ms() == pytest.approx(age_ms), case


def test_an_answer_of_a_peer_is_no_own_proof() -> None:
    """Guards against a primary reader that relies on the nodes which rely on it."""
    boot_clock, proofs = make_proofs()
    proofs.state_age.record_answer(boot_clock.now_ms(), 0.0)
    assert proofs.own_age_ms() == math.inf
    assert proofs.left_ms() == 0.0


@pytest.mark.parametrize("is_primary", [True, False])
def test_only_a_primary_reader_waits_less_for_its_proofs(is_primary: bool) -> None:
    manual_clock = clock.ManualClock()
    freshness = published.StoreFreshness(manual_clock, random.Random(5), STORE)
    freshness.proofs.state_age.clock = manual_clock
    freshness.is_primary = is_primary
    freshness.record_success(False)
    freshness.proofs.record_read(manual_clock.now_ms())
    random_source = random.Random(7)
    highest_ms, watches, started_at_ms = 0.0, 0, manual_clock.now_ms()
    for _ in range(300):
        started_ms = manual_clock.now_ms()
        wait_ms = freshness.start_watch(True)
        watches += 1
        has_changes = random_source.random() < 0.2
        waited_ms = wait_ms * random_source.random() if has_changes else float(wait_ms)
        manual_clock.advance(waited_ms + ANSWER_MS)
        highest_ms = max(highest_ms, freshness.proofs.own_age_ms())
        freshness.record_success(False)
        freshness.proofs.record_read(started_ms, 0.0 if has_changes else wait_ms)
        pause_ms = random_source.uniform(200.0, 1_000.0) if has_changes else 0.0
        manual_clock.advance(freshness.limit_pause_ms(pause_ms))
        highest_ms = max(highest_ms, freshness.proofs.own_age_ms())
    per_s = watches * 1_000.0 / (manual_clock.now_ms() - started_at_ms)
    if is_primary:
        assert highest_ms <= 800.0
        assert per_s < 2.5
    else:
        assert highest_ms > 3_000.0
        assert per_s < 0.4


@pytest.mark.parametrize(
    ("interval_ms", "age_ms", "expected_ms"),
    [(770, 0.0, 400.0), (770, 5_001.0, 900.0), (None, 0.0, 900.0)],
)
def test_failed_reads_are_repeated_sooner_for_a_while(
    interval_ms: int | None, age_ms: float, expected_ms: float
) -> None:
    """Guards against short outages that refuse requests, and long ones that cost."""
    boot_clock = clock.ManualClock(5_000.0)
    proofs = published.StoreProofs(published.StateAge(boot_clock), interval_ms)
    proofs.record_read(boot_clock.now_ms())
    boot_clock.advance(age_ms)
    assert proofs.limit_retry_ms(900.0) == expected_ms
    assert proofs.limit_retry_ms(150.0) == 150.0


def test_without_an_interval_a_pause_is_not_limited() -> None:
    manual_clock = clock.ManualClock()
    freshness = published.StoreFreshness(
        manual_clock, random.Random(5), attrs.evolve(STORE, proof_interval_ms=None)
    )
    freshness.is_primary = True
    assert freshness.limit_pause_ms(900.0) == 900.0
