"""Guards against expired retry tokens becoming valid when the system time steps."""

import time

import pytest

from jujubetiller import clock


def test_a_step_of_the_system_time_is_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(time, "monotonic", lambda: 50.0)
    monkeypatch.setattr(time, "time", lambda: 1_000.0)
    unix_clock = clock.UnixClock()
    assert unix_clock.now_ms() == 1_000_000.0
    monkeypatch.setattr(time, "time", lambda: 10.0)
    monkeypatch.setattr(time, "monotonic", lambda: 51.0)
    assert unix_clock.now_ms() == 1_001_000.0
