"""Guards against requests of the own interface that crash targets without end."""

import pytest

from jujubetiller import calls, codes, crashes, target
from tests.node import local_node

LOST = target.TargetResponse(codes.ResultCode.TARGET_CLOSED_EARLY)


def crash_target(node: local_node.LocalNode) -> None:
    """End the target under the calls that it runs."""
    node.target.probe_result = target.ProbeResult.REFUSED
    for sent in node.target.requests:
        sent.on_end(LOST)
    node.target.requests.clear()


def send_message(
    node: local_node.LocalNode, message: crashes.CrashMessage
) -> calls.CallAnswer:
    """Return the node's answer to a message of a peer."""
    answers: list[calls.CallAnswer] = []
    request = calls.CallRequest(
        service=crashes.NODE_SERVICE,
        method="POST",
        path=crashes.PATH,
        kind="",
        priority_class=0,
        rank=0,
        idempotent=True,
        deadline_left_ms=1_000.0,
        body=message.encode(node.parts.clock.now_ms()),
    )
    node.peers.handle_call(request, answers.append)
    return answers[0]


@pytest.mark.parametrize("kind", ["balance", "deposit"])
def test_a_request_that_crashed_the_target_twice_does_not_reach_it_again(
    kind: str,
) -> None:
    node = local_node.LocalNode()
    for _ in range(2):
        node.receive_call(kind, make_key(node, kind))
        crash_target(node)
        assert node.answers[-1].code is codes.ResultCode.TARGET_CRASHED
        assert node.answers[-1].outcome is codes.Outcome.UNKNOWN
    node.receive_call(kind, make_key(node, kind))
    assert node.target.requests == []
    assert node.answers[-1].code is codes.ResultCode.REQUEST_CRASHES_TARGETS
    assert node.answers[-1].outcome is codes.Outcome.NOT_RUN
    assert node.answers[-1].hops[0].rule == "crashes"


def make_key(node: local_node.LocalNode, kind: str) -> str:
    return node.mint(kind, local_node.OWN) if kind == "deposit" else ""


def test_a_request_runs_again_once_a_copy_of_it_was_answered() -> None:
    node = local_node.LocalNode()
    node.receive_call("balance")
    crash_target(node)
    for _ in range(2):
        node.receive_call("balance")
    assert len(node.target.requests) == 1
    node.target.requests[0].answer()
    assert len(node.target.requests) == 2
    assert node.parts.containment.evidence.find_standing(1) is crashes.Standing.CLEAR


def test_a_request_that_crashed_targets_elsewhere_does_not_reach_this_one() -> None:
    node = local_node.LocalNode()
    fingerprint = node.parts.containment.identify(
        calls.CallRequest("ledger", "GET", "/balance", "balance", 0, 0, True, 0.0)
    )
    reports = tuple(
        crashes.CrashReport(name, 0.0, (fingerprint,), fingerprint)
        for name in ("a.1", "b.1")
    )
    node.reactor.advance(1.0)
    answer = send_message(node, crashes.CrashMessage(7, reports))
    assert crashes.decode_message(answer.body, 0.0).unwrap().reports
    node.receive_call("balance")
    assert node.target.requests == []
    assert node.answers[-1].code is codes.ResultCode.REQUEST_CRASHES_TARGETS


def test_only_a_comparison_is_answered_with_all_reports() -> None:
    """Guards against each short message on a trial that brings back the whole table."""
    node = local_node.LocalNode()
    node.receive_call("balance")
    crash_target(node)
    digest = node.parts.containment.evidence.reports.digest()
    for message, has_reports in (
        (crashes.CrashMessage(trials=(crashes.Trial(1, 5.0),)), False),
        (crashes.CrashMessage(digest), False),
        (crashes.CrashMessage(digest + 1), True),
    ):
        answer = send_message(node, message)
        reports = crashes.decode_message(answer.body, 0.0).unwrap().reports
        assert bool(reports) is has_reports
