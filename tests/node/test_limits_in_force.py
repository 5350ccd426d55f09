"""Guards against limits in tickets that a running node does not apply."""

from typing import Any

import pytest

from jujubetiller import calls, clock, limits, settings, tickets
from jujubetiller.node import _limits_in_force

OWN = settings.LimitSettings(
    policy="fixed", queue_order="arrival", slots=1, queue_length=8, queue_wait_ms=500
)


class Operator:
    """Applies tickets to a guard and records which entries started or were refused."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock(1_000)
        self.state = tickets.TicketState(settings.ControlSettings())
        self.guard = limits.build_guard(self.clock, OWN)
        self.in_force = _limits_in_force.LimitsInForce(
            self.state, self.guard, "booth", OWN
        )
        self.events: list[str] = []
        self.entries: dict[str, limits.GuardEntry] = {}

    def apply_ticket(self, number: int, **objects: Any) -> None:
        names = {"booth": "service/booth", "site": "site/policy"}
        named = {names[name]: value for name, value in objects.items()}
        parsed = tickets.parse_ticket(
            {"number": number, "author": "a", "objects": named}
        )
        self.state.merge(parsed.unwrap())
        self.in_force.apply()

    def submit(self, name: str, rank: int = 0) -> None:
        entry = self.entries[name] = limits.GuardEntry(
            rank=rank,
            depth=0,
            deadline=calls.Deadline.after(self.clock, 10_000),
            start=lambda: self.events.append(name),
            refuse=lambda code: self.events.append(f"{name} {code.name}"),
        )
        self.guard.submit(entry)


@pytest.mark.parametrize(
    ("objects_by_ticket", "expected"),
    [
        ([], ("fixed", "arrival", 1, 8, 500)),
        (
            [{"site": {"site": "klang", "limit_policy": "additive"}}],
            ("additive", "arrival", 1, 8, 500),
        ),
        (
            [
                {"site": {"site": "klang", "queue_order": "priority"}},
                {"booth": {"slots": 6, "limit_policy": "gradient"}},
            ],
            ("gradient", "priority", 6, 8, 500),
        ),
        (
            [
                {
                    "booth": {
                        "slots": 6,
                        "queue_length": 3,
                        "queue_wait_ms": 50,
                        "queue_order": "arrival",
                    }
                },
                {"site": {"site": "klang", "queue_order": "priority"}},
            ],
            ("fixed", "arrival", 6, 3, 50),
        ),
        (
            [{"booth": {"slots": 6, "limit_policy": "gradient"}}, {"booth": None}],
            ("fixed", "arrival", 1, 8, 500),
        ),
    ],
)
def test_the_service_overrides_the_site_and_the_site_overrides_the_settings(
    objects_by_ticket: list[dict[str, Any]], expected: tuple[Any, ...]
) -> None:
    operator = Operator()
    for number, objects in enumerate(objects_by_ticket, start=1):
        operator.apply_ticket(number, **objects)
    wanted, guard = operator.in_force.in_force, operator.guard
    assert (wanted.policy, wanted.queue_order, *expected[2:]) == expected
    assert type(guard.policy) is type(limits.build_policy(expected[0], 1, 1))
    assert type(guard.queue.order) is type(limits.build_order(expected[1]))
    bounds = (guard.slots, guard.queue.capacity, guard.settings.queue_wait_ms)
    assert bounds == expected[2:]


def test_a_ticket_that_arrives_after_a_higher_number_is_in_force() -> None:
    operator = Operator()
    operator.apply_ticket(9, site={"site": "klang"})
    operator.apply_ticket(8, booth={"slots": 6})
    assert operator.guard.limit == 6


def test_a_change_of_order_loses_no_waiting_or_running_entry() -> None:
    operator = Operator()
    for name, rank in (("run", 0), ("low", 300), ("high", 1), ("mid", 200)):
        operator.submit(name, rank)
    expires_at_ms = operator.guard.next_expiry_ms()
    operator.apply_ticket(
        1, booth={"slots": 1, "limit_policy": "gradient", "queue_order": "priority"}
    )
    assert (operator.guard.in_flight, operator.guard.queue_length) == (1, 3)
    assert operator.guard.next_expiry_ms() == expires_at_ms
    assert operator.guard.cancel(operator.entries["mid"])
    for name in ("run", "high", "low"):
        operator.guard.finished(operator.entries[name], True)
    assert operator.events == ["run", "high", "low"]
    assert operator.guard.in_flight == 0


def test_a_change_back_to_arrival_keeps_the_order_of_arrival() -> None:
    operator = Operator()
    operator.apply_ticket(1, site={"site": "klang", "queue_order": "priority"})
    for name, rank in (("run", 0), ("low", 300), ("high", 1)):
        operator.submit(name, rank)
    operator.apply_ticket(2, site=None)
    operator.guard.finished(operator.entries["run"], True)
    assert operator.events == ["run", "low"]


def test_more_slots_start_waiting_entries_and_fewer_stop_none() -> None:
    operator = Operator()
    for name in ("a", "b", "c"):
        operator.submit(name)
    operator.apply_ticket(1, booth={"slots": 2, "limit_policy": "additive"})
    # The adaptive policy starts from the lowest limit, 2.
    assert operator.events == ["a", "b"]
    operator.apply_ticket(2, booth={"slots": 1})
    operator.guard.finished(operator.entries["a"], True)
    assert (operator.events, operator.guard.in_flight) == (["a", "b"], 1)
    operator.guard.finished(operator.entries["b"], True)
    assert operator.events == ["a", "b", "c"]


def test_a_shorter_queue_and_wait_apply_to_new_entries_only() -> None:
    operator = Operator()
    for name in ("run", "a", "b"):
        operator.submit(name)
    operator.apply_ticket(1, booth={"slots": 1, "queue_length": 1, "queue_wait_ms": 50})
    operator.submit("late")
    assert operator.events == ["run", "late QUEUE_FULL"]
    operator.clock.advance(499)
    operator.guard.expire()
    assert operator.guard.queue_length == 2
    operator.clock.advance(1)
    operator.guard.expire()
    assert operator.guard.queue_length == 0
