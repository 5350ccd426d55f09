"""Guards against a state that depends on arrival order or regresses.

That would break promise P8 of docs/design.md.
"""

import itertools
from typing import Any

import hypothesis
import pytest
import result
from hypothesis import strategies

from jujubetiller import settings, tickets

SETTINGS = settings.ControlSettings()
KIND: dict[str, Any] = {
    "service": "ledger",
    "method": "POST",
    "path_prefix": "/deposits",
    "priority_class": 0,
    "idempotent": False,
    "deadline_ms": 2_000,
}


def make_ticket(number: int, **objects: Any) -> tickets.Ticket:
    named = {
        name if "/" in name else f"service/{name}": body
        for name, body in objects.items()
    }
    parsed = tickets.parse_ticket({"number": number, "author": "op", "objects": named})
    assert isinstance(parsed, result.Ok), parsed
    return parsed.ok_value


class LastArrivalState(tickets.TicketState):
    """Applies every entry that arrives, to prove that the checks can fail."""

    def supersedes(self, entry: Any, held: Any) -> bool:
        return True


BODIES = strategies.one_of(
    strategies.none(),
    strategies.builds(lambda slots: {"slots": slots}, strategies.integers(1, 3)),
)
TICKETS = strategies.lists(
    strategies.builds(
        lambda number, objects: make_ticket(number, **objects),
        strategies.integers(1, 4),
        strategies.dictionaries(strategies.sampled_from("abc"), BODIES, min_size=1),
    ),
    min_size=1,
    max_size=5,
)


def check_arrivals(
    state_type: type[tickets.TicketState],
    sent: list[tickets.Ticket],
    data: strategies.DataObject,
) -> None:
    """Merge whole tickets in one state, shuffled single entries in another."""
    first, second = state_type(SETTINGS), state_type(SETTINGS)
    for ticket in sent:
        first.merge(ticket)
    entries = [e for t in sent for e in t.objects.values()]
    numbers: dict[str, int] = {}
    for entry in data.draw(strategies.permutations(entries + entries[:3])):
        second.load([entry.as_wire()])
        number = second.entries[entry.name].number
        assert number >= numbers.get(entry.name, 0)
        numbers[entry.name] = number
    assert first.digest() == second.digest()
    assert first.buckets.total() == second.buckets.total()
    assert (first.snapshot(), first.services) == (second.snapshot(), second.services)
    third = state_type(SETTINGS)
    third.load(first.missing(third.index()))
    assert third.digest() == first.digest()
    assert first.missing(third.index()) == []


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(sent=TICKETS, data=strategies.data())
def test_any_order_duplication_and_split_gives_one_state(
    sent: list[tickets.Ticket], data: strategies.DataObject
) -> None:
    check_arrivals(tickets.TicketState, sent, data)


def test_the_check_fails_for_a_state_that_applies_the_last_arrival() -> None:
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(sent=TICKETS, data=strategies.data())
    def check(sent: list[tickets.Ticket], data: strategies.DataObject) -> None:
        check_arrivals(LastArrivalState, sent, data)

    with pytest.raises((AssertionError, BaseExceptionGroup)):
        check()


def test_a_removal_keeps_an_older_ticket_out() -> None:
    for order in itertools.permutations(
        [make_ticket(1, a={"slots": 1}), make_ticket(2, a=None)]
    ):
        state = tickets.TicketState(SETTINGS)
        for ticket in order:
            state.merge(ticket)
        assert state.services == {}
        assert state.number == 2


def test_one_number_with_two_contents_is_counted_once_and_resolved() -> None:
    race = [make_ticket(7, a={"slots": 1}), make_ticket(7, a={"slots": 2})]
    states = [tickets.TicketState(SETTINGS) for _ in race]
    for state, order in zip(states, (race, race[::-1]), strict=True):
        for ticket in order * 2:
            state.merge(ticket)
    assert states[0].digest() == states[1].digest()
    assert [state.conflict_count for state in states] == [1, 1]


def test_new_objects_over_the_limit_are_ignored_and_counted() -> None:
    state = tickets.TicketState(settings.ControlSettings(max_objects=1))
    merged = state.merge(make_ticket(1, a={"slots": 1}, b={"slots": 1}))
    assert merged.over_limit == ("service/b",)
    assert state.over_limit_count == 1
    assert state.merge(make_ticket(2, a={"slots": 2})).changed


@pytest.mark.parametrize(
    "entry",
    [None, [], [1, 2, 3, 4], ["service/a", 0, "op", None], ["service/a", 1, "op", b"{"]]
    + [["service/a", 1, "op", b"null"], [["x"], 1, "op", b""], ["x/y", 1, "op", None]],
)
def test_a_bad_entry_of_a_peer_is_counted_and_skipped(entry: Any) -> None:
    state = tickets.TicketState(SETTINGS)
    assert state.load([entry, ["service/b", 1, "op", b'{"slots":5}']]).problems
    assert (list(state.services), state.rejected_count) == (["b"], 1)


@pytest.mark.parametrize(
    ("service", "method", "path", "found"),
    [
        ("ledger", "POST", "/deposits", "short"),
        ("ledger", "POST", "/deposits/7?x=/a", "short"),
        ("ledger", "POST", "/deposits/big/7", "long"),
        ("ledger", "POST", "/deposits/big?x", "long"),
        ("ledger", "POST", "/deposits/bigger", "short"),
        ("ledger", "POST", "/depositsx", None),
        ("ledger", "GET", "/deposits", None),
        ("booth", "POST", "/deposits", None),
        ("ledger", "PUT", "/anything/at/all", "root"),
    ],
)
def test_the_longest_prefix_of_whole_segments_is_found(
    service: str, method: str, path: str, found: str | None
) -> None:
    state = tickets.TicketState(SETTINGS)
    long = {**KIND, "path_prefix": "/deposits/big"}
    root = {**KIND, "path_prefix": "/", "method": "PUT"}
    names = {"short": KIND, "long": long, "root": root}
    state.merge(make_ticket(1, **{f"request_kind/{n}": b for n, b in names.items()}))
    kind = state.find_request_kind(service, method, path)
    assert (kind and kind.name) == found
    state.merge(make_ticket(2, **{f"request_kind/{n}": None for n in names}))
    assert state.find_request_kind(service, method, path) is None
