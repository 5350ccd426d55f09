"""Guards against a node that serves before it has its neighbours' state."""

import pytest

from bench import control_network
from jujubetiller import clock, control, settings

SETTINGS = settings.ControlSettings()


def test_each_reachable_neighbour_is_waited_for() -> None:
    manual_clock = clock.ManualClock()
    join = control.JoinState(manual_clock, SETTINGS)
    names = ["a", "b", "c", "d"]
    assert join.choose_pull_sources(names) == ["a", "b"]
    join.note_progress("a")
    join.note_compared("a")
    join.update(names)
    assert join.choose_pull_sources(names) == ["c", "d"]
    for name in ("b", "c"):
        assert not join.is_ready
        join.note_compared(name)
        join.update(names)
    assert not join.is_ready
    manual_clock.advance(SETTINGS.digest_ms)
    join.update(names)
    assert join.is_ready


@pytest.mark.parametrize("is_answered", [False, True])
def test_the_wait_is_bounded(is_answered: bool) -> None:
    manual_clock = clock.ManualClock()
    join = control.JoinState(manual_clock, SETTINGS)
    join.choose_pull_sources(["a"])
    waited_ms = 0
    while not join.is_ready:
        manual_clock.advance(100)
        waited_ms += 100
        if is_answered:
            join.note_progress("a")
        join.update(["a"])
    factor = 10 if is_answered else 1
    assert waited_ms - 100 <= SETTINGS.join_wait_ms * factor


def test_a_joining_node_does_not_signal_that_its_state_is_complete() -> None:
    network = control_network.SimulatedNetwork()
    network.fill({"zone-a": 3})
    exchange = network.nodes["zone-a-0000"].exchange
    pull = control.Pull({}, {})

    def is_end_sent() -> bool:
        replies = exchange.receive("zone-a-0001", pull)
        return any(isinstance(r, control.Push) and r.is_end for r in replies)

    assert not is_end_sent()
    assert all(isinstance(message, control.Pull) for _, message in exchange.tick())
    network.run(5_000)
    assert exchange.join_state.is_ready
    assert is_end_sent()
