"""Each check of the fault tests must fail when the mechanism it covers is broken.

It guards against checks that pass whatever the nodes do. Every case breaks one
mechanism of the nodes and expects the matching sentence.
"""

from collections.abc import Callable
from typing import Any

import attrs
import pytest

from jujubetiller import (
    control,
    keys,
    records,
    retries,
    routing,
    target,
    tickets,
)
from jujubetiller.keys import _begin
from jujubetiller.node import _drain, _owners
from tests.faults import cells, fault_table, steps

Break = Callable[[pytest.MonkeyPatch], None]

_FAULTS = {fault.name: fault for fault in fault_table.FAULTS}
_STEPS = {step.name: step for step in steps.STEPS}


def forget_keys(patch: pytest.MonkeyPatch) -> None:
    """Let the owner run every duplicate of a key."""

    def begin(self: Any, key: Any, on_answer: Any) -> Any:
        return _begin.Begin(keys.BeginState.RUN_NOW)

    patch.setattr(keys.ExecutionTable, "begin", begin)
    patch.setattr(keys.ExecutionTable, "finish", lambda *arguments: None)


def claim_sealed(patch: pytest.MonkeyPatch) -> None:
    """Let a node report not-run without a confirmation by the owner of the key."""
    patch.setattr(_owners, "seal_key", lambda *arguments: arguments[-1](True))


def retry_without_tokens(patch: pytest.MonkeyPatch) -> None:
    """Let every node retry without limit."""
    patch.setattr(retries.RetryLedger, "spend", lambda self: True)


def mix_answers(patch: pytest.MonkeyPatch) -> None:
    """Let the target client return the response of the previous request."""
    original = target.TargetClient.send
    last: list[Any] = []

    def send(self: Any, request: Any, on_end: Any) -> Any:
        def ended(response: Any) -> None:
            last.append(response)
            on_end(last[max(0, len(last) - 2)])

        return original(self, request, ended)

    patch.setattr(target.TargetClient, "send", send)


def cut_answers(patch: pytest.MonkeyPatch) -> None:
    """Truncate every response to half of its body."""
    original = target.TargetClient.send

    def send(self: Any, request: Any, on_end: Any) -> Any:
        def ended(response: Any) -> None:
            response.body = response.body[: len(response.body) // 2]
            on_end(response)

        return original(self, request, ended)

    patch.setattr(target.TargetClient, "send", send)


def ignore_leaving(patch: pytest.MonkeyPatch) -> None:
    """Let the router treat leaving instances as live."""
    original = routing.Router.update_instances

    def update(self: Any, instances: Any) -> None:
        original(self, [attrs.evolve(one, leaving=False) for one in instances])

    patch.setattr(routing.Router, "update_instances", update)


def apply_last_ticket(patch: pytest.MonkeyPatch) -> None:
    """Let an older ticket that arrives last supersede the newer one, once.

    Nodes that always did so would exchange both tickets endlessly.
    """
    original = tickets.TicketState.supersedes
    reverted: list[str] = []

    def supersedes(self: Any, entry: Any, held: Any) -> bool:
        if not reverted and held is not None and entry.number < held.number:
            reverted.append(entry.name)
            return True
        return original(self, entry, held)

    patch.setattr(tickets.TicketState, "supersedes", supersedes)


def drop_tickets(patch: pytest.MonkeyPatch) -> None:
    """Let readers ignore every ticket after the first."""
    original = control.ControlExchange.merge_ticket

    def merge(self: Any, ticket: Any) -> Any:
        return original(self, ticket) if ticket.number == 1 else None

    patch.setattr(control.ControlExchange, "merge_ticket", merge)


def drop_records(patch: pytest.MonkeyPatch) -> None:
    """Sign records with a key that no node has."""
    original = records.RecordSigner.sign

    def sign(self: Any, record: Any) -> str:
        return original(records.RecordSigner(["an unknown signing key"]), record)

    patch.setattr(records.RecordSigner, "sign", sign)


def close_at_once(patch: pytest.MonkeyPatch) -> None:
    """Let a planned stop close without waiting for calls in flight."""

    def poll(self: Any) -> None:
        self.close(self.count_in_flight())

    patch.setattr(_drain.Drain, "poll", poll)


CASES = (
    (forget_keys, "entry node killed", "target running", "keyed", "ran 2 times"),
    (claim_sealed, "peer node killed", "target running", "keyed", "told not-run"),
    (retry_without_tokens, "nested targets cut answers", "target running", "look",
     "repeats"),
    (retry_without_tokens, "nested targets cut answers", "target running", "look",
     "nodes repeated"),
    (apply_last_ticket, "ticket race", "target running", "look", "went back"),
    (mix_answers, "platform slow", "target running", "look", "were not whole"),
    (cut_answers, "platform slow", "target running", "look", "were not whole"),
    (ignore_leaving, "VM list names a leaving peer", "target running", "look",
     "is leaving and got new work"),
    (drop_tickets, "platform slow", "target running", "look", "is not in force"),
    (drop_records, "platform slow", "target running", "book", "has no record"),
    (close_at_once, "planned stop of the peer", "target running", "book",
     "planned stop"),
)  # fmt: skip


@pytest.mark.parametrize(
    ("broken", "fault", "step", "subject", "sentence"),
    [pytest.param(*case, id=f"{case[0].__name__}, {case[-1]}") for case in CASES],
)
def test_checker_reports(
    monkeypatch: pytest.MonkeyPatch,
    broken: Break,
    fault: str,
    step: str,
    subject: str,
    sentence: str,
) -> None:
    """Break a mechanism and expect its sentence in the report of a cell."""
    broken(monkeypatch)
    report = cells.run_cell(_FAULTS[fault], _STEPS[step], subject)
    assert any(sentence in line for line in report), report
