"""Guards against knowledge of the store that seems younger than it is."""

import math

from jujubetiller import clock, published


def test_the_youngest_proof_counts_and_an_older_one_changes_nothing() -> None:
    boot_clock = clock.ManualClock(10_000.0)
    age = published.StateAge(boot_clock)
    assert age.age_ms() == math.inf
    age.record_read(9_000.0)
    age.record_answer(sent_ms=9_900.0, age_ms=1_500.0)
    assert age.age_ms() == 1_000.0
    age.record_answer(sent_ms=9_900.0, age_ms=100.0)
    assert age.age_ms() == 200.0


def test_an_answer_that_was_held_up_counts_from_its_question() -> None:
    boot_clock = clock.ManualClock(0.0)
    age = published.StateAge(boot_clock)
    boot_clock.advance(4_000.0)
    age.record_answer(sent_ms=0.0, age_ms=0.0)
    assert age.age_ms() == 4_000.0
