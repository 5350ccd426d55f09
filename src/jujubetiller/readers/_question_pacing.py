"""When a node asks a reader of the store again."""

import random

QUESTION_JITTER = 0.4
"""Width of the random part of the pause, relative to it."""

PROOF_QUESTION_SPREAD_MS = 120.0
"""Time over which the questions of the nodes are spread that follow one proof."""

MIN_PAUSE_MS = 250.0
"""Pause between two questions of a node whose knowledge is old."""


class QuestionPacing:
    """Decides how long a node waits between two questions to a reader.

    If ages are to stay low, the next question follows the proof that the reader is to
    have next, and comes sooner if that one has not come.
    """

    def __init__(
        self, random_source: random.Random, proof_interval_ms: int | None
    ) -> None:
        self.random = random_source
        self.proof_interval_ms = proof_interval_ms

    def draw_pause_ms(self, longest_ms: float, age_ms: float) -> float:
        """Return the pause after a question that is not answered yet.

        ``age_ms`` is the age of what the node knows of the store.
        """
        pause_ms = longest_ms * self._draw_jitter()
        interval_ms = self.proof_interval_ms
        if interval_ms is not None and age_ms > 2 * interval_ms:
            return min(pause_ms, MIN_PAUSE_MS * self._draw_jitter())
        return pause_ms

    def draw_answered_pause_ms(self, age_ms: float) -> float | None:
        """Return the pause after an answer by which the age is ``age_ms``.

        The result is None if the answer changes nothing.
        """
        if self.proof_interval_ms is None:
            return None
        expected_ms = self.proof_interval_ms - age_ms
        return (
            max(MIN_PAUSE_MS, expected_ms)
            + PROOF_QUESTION_SPREAD_MS * self.random.random()
        )

    def _draw_jitter(self) -> float:
        half = QUESTION_JITTER / 2.0
        return 1.0 - half + QUESTION_JITTER * self.random.random()
