"""Guards against nodes that ask too rarely to stay up to date, or too often."""

import random

import pytest

from jujubetiller import clock, readers

INTERVAL_MS = 770
EXCHANGE_MS = 875.0


def make_pacing(interval_ms: int | None = INTERVAL_MS) -> readers.QuestionPacing:
    return readers.QuestionPacing(random.Random(5), interval_ms)


@pytest.mark.parametrize(
    ("interval_ms", "age_ms", "shortest_ms", "longest_ms"),
    [
        (None, float("inf"), 700.0, 1_050.0),
        (INTERVAL_MS, 100.0, 700.0, 1_050.0),
        (INTERVAL_MS, 1_600.0, 200.0, 300.0),
        (INTERVAL_MS, float("inf"), 200.0, 300.0),
    ],
)
def test_a_node_with_old_knowledge_asks_sooner(
    interval_ms: int | None, age_ms: float, shortest_ms: float, longest_ms: float
) -> None:
    pacing = make_pacing(interval_ms)
    pauses_ms = [pacing.draw_pause_ms(EXCHANGE_MS, age_ms) for _ in range(200)]
    assert shortest_ms <= min(pauses_ms)
    assert max(pauses_ms) <= longest_ms


@pytest.mark.parametrize("age_ms", [0.0, 400.0, 800.0, 5_000.0])
def test_the_next_question_follows_the_next_proof(age_ms: float) -> None:
    pacing = make_pacing()
    pauses_ms = [pacing.draw_answered_pause_ms(age_ms) for _ in range(200)]
    assert all(
        pause_ms is not None and pause_ms >= max(250.0, INTERVAL_MS - age_ms)
        for pause_ms in pauses_ms
    )
    assert all(
        pause_ms is not None and pause_ms <= max(250.0, INTERVAL_MS - age_ms) + 120.0
        for pause_ms in pauses_ms
    )


def test_without_an_interval_an_answer_changes_no_pause() -> None:
    assert make_pacing(None).draw_answered_pause_ms(100.0) is None


@pytest.mark.parametrize(("prefers_first_reader", "asked"), [(True, 1), (False, 2)])
def test_only_the_first_reader_is_asked_if_that_one_proves(
    prefers_first_reader: bool, asked: int
) -> None:
    """Guards against ages that grow by a round at the second reader."""
    choice = readers.ReaderChoice(
        clock.ManualClock(), random.Random(5), "1", "own", prefers_first_reader
    )
    choice.set_nodes(["own", *(f"node-{number}" for number in range(20))])
    names = {name for _ in range(6) for name in choice.start_round()}
    assert len(names) == asked


def test_the_first_reader_is_asked_again_soon_while_it_can_not_read() -> None:
    manual_clock = clock.ManualClock()
    choice = readers.ReaderChoice(manual_clock, random.Random(5), "1", "own", True)
    choice.set_nodes(["own", *(f"node-{number}" for number in range(20))])
    first = next(name for name in choice.nodes if name != "own")
    choice.record_failure(first, has_answered=True)
    manual_clock.advance(250.0)
    assert first in choice.start_round()
    choice.record_failure(first, has_answered=False)
    manual_clock.advance(250.0)
    assert first not in choice.start_round()
