"""Guards against time that moves backwards in tests of time-based decisions."""

import pytest

from jujubetiller import clock


def test_advance_rejects_a_negative_duration() -> None:
    manual_clock = clock.ManualClock(5)
    with pytest.raises(ValueError, match="duration_ms"):
        manual_clock.advance(-1)
    assert manual_clock.now_ms() == 5
