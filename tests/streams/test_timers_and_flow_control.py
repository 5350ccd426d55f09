"""Guards against errors in timers and flow control.

A live peer is declared dead, a deadline is missed or reported twice, one large body
blocks the others, or a sender exceeds its credit.
"""

import hypothesis
import hypothesis.strategies as st
import pytest
from twisted.internet import task

from jujubetiller import clock
from jujubetiller.streams import (
    _body_sender,
    _deadline_wheel,
    _pool_timer,
    _receive_window,
    _silence_detector,
)
from tests import reactor_clock

STEP_S = 0.125


def make_detector(
    time_source: clock.Clock, max_step_ms: float = 500
) -> _silence_detector.SilenceDetector:
    return _silence_detector.SilenceDetector(
        time_source.now_ms(),
        ping_after_ms=500,
        idle_ping_after_ms=2_000,
        suspect_after_ms=500,
        dead_after_ms=1_000,
        max_step_ms=max_step_ms,
    )


@pytest.mark.parametrize(
    ("has_work", "ping_at", "suspect_at", "dead_at"),
    [(True, 500, 1_000, 1_500), (False, 2_000, 2_500, 3_000)],
)
def test_silence_leads_to_a_ping_then_to_a_suspect_and_a_dead_stream(
    has_work: bool, ping_at: int, suspect_at: int, dead_at: int
) -> None:
    time_source = clock.ManualClock()
    detector = make_detector(time_source)
    seen = {}
    while "dead" not in seen:
        time_source.advance(100)
        result = detector.tick(time_source.now_ms(), has_work)
        seen.setdefault(result.value, time_source.now_ms())
        if detector.is_suspect():
            seen.setdefault("suspect", time_source.now_ms())
    assert (seen["ping due"], seen["suspect"], seen["dead"]) == (
        ping_at,
        suspect_at,
        dead_at,
    )


@pytest.mark.parametrize(("max_step_ms", "is_dead"), [(500, False), (1e9, True)])
def test_a_pause_of_the_own_process_does_not_count_as_silence_of_the_peer(
    max_step_ms: float, is_dead: bool
) -> None:
    # Without the limit on one step, the peer is declared dead after the pause.
    time_source = clock.ManualClock()
    detector = make_detector(time_source, max_step_ms)
    time_source.advance(500)
    assert detector.tick(500, True) is _silence_detector.Silence.PING_DUE
    time_source.advance(60_000)
    dead = _silence_detector.Silence.DEAD
    assert (detector.tick(time_source.now_ms(), True) is dead) == is_dead


def test_received_data_ends_the_suspicion() -> None:
    detector = make_detector(clock.ManualClock())
    for now_ms in (500, 1_000):
        detector.tick(now_ms, True)
    assert detector.is_suspect()
    detector.note_received()
    assert not detector.is_suspect()
    assert detector.tick(1_400, True) is _silence_detector.Silence.NONE


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    st.lists(
        st.one_of(
            st.tuples(st.just("add"), st.integers(0, 300)),
            st.tuples(st.just("remove"), st.integers(0, 20)),
            st.tuples(st.just("advance"), st.integers(0, 400)),
        ),
        max_size=40,
    )
)
def test_an_item_expires_once_and_within_one_tick(
    steps: list[tuple[str, int]],
) -> None:
    now = 5.0
    wheel = _deadline_wheel.DeadlineWheel[int](10, now)
    kept: dict[int, tuple[float, int]] = {}
    count = 0
    for step, number in steps:
        if step == "add":
            kept[count] = (now + number, wheel.add(count, now + number))
            count += 1
        elif step == "remove" and number in kept:
            wheel.remove(number, kept.pop(number)[1])
        elif step == "advance":
            now += number
            for item in wheel.expire(now):
                assert kept.pop(item)[0] <= now
            assert all(at > now - 10 for at, _ in kept.values())
        assert len(wheel) == len(kept)
        assert all(wheel.next_ms() <= bucket * 10 for _, bucket in kept.values())


def test_the_timer_runs_at_the_next_deadline_and_can_be_moved_forward() -> None:
    reactor = task.Clock()
    ticks: list[float] = []
    timer: _pool_timer.PoolTimer

    def tick() -> None:
        ticks.append(round(reactor.seconds() * 1000.0))
        timer.schedule(reactor.seconds() * 1000.0 + 500.0)

    time_source = reactor_clock.ReactorClock(reactor)
    timer = _pool_timer.PoolTimer(reactor, time_source, tick)
    timer.schedule(125.0)
    timer.bring_forward(250.0)
    reactor.pump([STEP_S] * 2)
    timer.bring_forward(375.0)
    reactor.pump([STEP_S] * 6)
    timer.stop()
    reactor.pump([STEP_S] * 6)
    assert ticks == [125, 375, 875]


def test_parts_of_bodies_alternate_and_wait_for_credit() -> None:
    sender = _body_sender.BodySender(part_bytes=2, window_bytes=4)
    sender.add(1, b"aaaaaaa")
    sender.add(2, b"bbb")
    order = [sender.next_part() for _ in range(4)]
    assert order == [(1, b"aa"), (2, b"bb"), (1, b"aa"), (2, b"b")]
    assert not sender.has_ready()
    sender.add_credit(2, 9)
    assert not sender.has_ready()
    sender.add_credit(1, 1)
    assert sender.next_part() == (1, b"a")
    sender.add_credit(1, 9)
    assert sender.next_part() == (1, b"aa")
    assert len(sender) == 0


def test_credit_is_granted_in_halves_of_the_window() -> None:
    window = _receive_window.ReceiveWindow(100)
    assert window.consume(49)
    assert window.grant() == 0
    assert window.consume(1)
    assert window.grant() == 50
    assert window.consume(100)
    assert not window.consume(1)
