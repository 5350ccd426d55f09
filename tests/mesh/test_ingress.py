"""Guards against wrong result codes for the target's responses."""

from collections.abc import Callable

import logbook
import pytest

from jujubetiller import codes, target
from tests.mesh import local_mesh

Code = codes.ResultCode
STAMP = ("Jujubetiller-Server-Stamp", "s")
NOT_RUN = ("Jujubetiller-Not-Executed", "1")


@pytest.mark.parametrize(
    ("status", "headers", "code"),
    [
        (200, (STAMP,), Code.ANSWERED),
        (500, (STAMP,), Code.ANSWERED),
        (503, (STAMP,), Code.ANSWERED),
        (503, (NOT_RUN,), Code.TARGET_SHED),
        (429, (NOT_RUN,), Code.TARGET_SHED),
        (421, (), Code.WRONG_SERVICE),
        (421, (NOT_RUN,), Code.WRONG_SERVICE),
        (200, (), Code.ANSWER_INCOMPLETE),
    ],
)
def test_the_response_of_the_target_determines_the_code(
    status: int, headers: tuple[tuple[str, str], ...], code: codes.ResultCode
) -> None:
    node = local_mesh.LocalMesh()
    node.receive_call()
    node.target.requests[-1].answer(status, *headers)
    assert node.answers[0].code is code
    assert node.parts.guard.in_flight == 0


def test_the_target_receives_the_time_left_and_the_expected_instance() -> None:
    node = local_mesh.LocalMesh()
    node.receive_call()
    request = node.target.requests[-1].request
    headers = dict(request.headers)
    assert 490 <= int(headers["jujubetiller-deadline-ms"]) <= 500
    assert headers["jujubetiller-expected-instance"] == local_mesh.OWN
    assert request.echo == ("jujubetiller-request-id", "r1")


def test_calls_beyond_the_slots_of_the_instance_wait() -> None:
    node = local_mesh.LocalMesh()
    for _ in range(40):
        node.receive_call()
    slots = node.parts.guard.limit
    assert len(node.target.requests) == slots < 40
    node.target.requests[0].answer(200, STAMP)
    assert len(node.target.requests) == slots + 1


def test_a_full_target_is_logged() -> None:
    """Guards against slow requests whose cause, a full target, is not logged."""
    node = local_mesh.LocalMesh()
    node.reactor.advance(1.1)
    with logbook.TestHandler() as handler:
        for _ in range(40):
            node.receive_call()
        node.node.load_log.write_if_due()
        lines = [record for record in handler.records if "wait" in record.message]
    limit = node.parts.guard.limit
    assert lines[0].extra["in_flight"] == limit
    assert lines[0].extra["queue_length"] == 40 - limit


def test_a_cancelled_call_is_cancelled_at_the_target() -> None:
    node = local_mesh.LocalMesh()
    node.receive_call()()
    assert node.target.requests[-1].cancelled == 1
    assert node.parts.guard.in_flight == 0


def test_a_call_for_another_service_is_refused() -> None:
    node = local_mesh.LocalMesh()
    node.receive_call(service="booth")
    assert node.answers[0].code is Code.WRONG_SERVICE
    assert node.target.requests == []


def test_a_lost_answer_of_the_target_is_unknown() -> None:
    node = local_mesh.LocalMesh()
    node.receive_call()
    lost = target.TargetResponse(Code.TARGET_CLOSED_EARLY)
    node.target.requests[-1].on_end(lost)
    assert node.answers[0].outcome is codes.Outcome.UNKNOWN


def test_a_queued_call_is_refused_before_its_deadline() -> None:
    """Guards against an unknown outcome of a request that never ran."""
    node = local_mesh.LocalMesh()
    for _ in range(node.parts.guard.limit + 1):
        node.receive_call(deadline_left_ms=200.0)
    node.reactor.advance(0.185)
    assert node.answers[0].code is Code.QUEUE_DEADLINE


def answer_with_limit(
    node: local_mesh.LocalMesh, limit: str | None, request_id: str = "r1"
) -> None:
    named = () if limit is None else (("Server-Limit", limit),)
    echo = ("Jujubetiller-Request-Id", request_id)
    node.target.requests[-1].answer(200, STAMP, echo, *named)


def test_a_rate_limit_that_the_target_names_is_logged_with_the_rate_it_gets() -> None:
    """Guards against LIMIT being broken without a line that shows it."""
    node = local_mesh.LocalMesh()
    with logbook.TestHandler() as handler:
        for _ in range(40):
            node.reactor.advance(0.05)
            node.receive_call()
            answer_with_limit(node, "8.5")
        node.node.load_log.write_if_due()
        lines = {record.message: record.extra for record in handler.records}
    assert lines["target names a rate limit"]["limit_per_s"] == 8.5
    state = lines["target limits its rate"]
    assert state["limit_per_s"] == 8.5
    assert state["offered_per_s"] > 8.5
    assert b'jujubetiller_target_rate{event="limit_per_s"} 8.5' in (
        node.parts.metrics.render()
    )


def test_a_response_to_another_request_names_no_limit() -> None:
    node = local_mesh.LocalMesh()
    node.receive_call()
    answer_with_limit(node, "8.5", request_id="r2")
    assert node.parts.guard.rate_limit.per_s is None


def test_a_bad_rate_limit_leaves_the_last_good_one() -> None:
    node = local_mesh.LocalMesh()
    for value in ("8.5", "many", "-3", "nan"):
        node.reactor.advance(0.5)
        node.receive_call()
        answer_with_limit(node, value)
    assert node.parts.guard.rate_limit.per_s == 8.5
    assert node.parts.notices.counts["bad_value"] == 3


def answer_own(
    node: local_mesh.LocalMesh, instance: str, *notices: tuple[str, str]
) -> None:
    """Answer a call for ``instance`` at the own target."""
    node.reactor.advance(1.0)
    node.receive_call(expected_instance=instance)
    echo = ("Jujubetiller-Request-Id", "r1")
    node.target.requests[-1].answer(200, STAMP, echo, *notices)


LEAVING = ("Server-Leaving", "1")
LIMIT = ("Server-Limit", "3")


def test_notices_do_not_outlive_their_instance() -> None:
    """Guards against a new instance that is shunned for what an earlier one said.

    The store is out of reach, so that only the answers show the new instance.
    """
    node = local_mesh.LocalMesh()
    answer_own(node, local_mesh.OWN, LEAVING, LIMIT)
    last = node.answers[-1]
    assert (last.target_leaving, last.rate_limit_per_s) == (True, 3.0)
    answer_own(node, "own-2")
    last = node.answers[-1]
    assert (last.target_leaving, last.rate_limit_per_s) == (False, 0.0)


def test_a_refusal_for_another_instance_tells_nothing_of_this_one() -> None:
    node = local_mesh.LocalMesh()
    answer_own(node, local_mesh.OWN, LEAVING, LIMIT)
    node.reactor.advance(2.0)
    node.receive_call(expected_instance="own-0")
    node.target.requests[-1].answer(421, NOT_RUN)
    last = node.answers[-1]
    assert last.code is Code.WRONG_SERVICE
    assert (last.target_leaving, last.rate_limit_per_s) == (False, None)


def test_a_listed_new_lifetime_ends_notices_of_the_same_instance() -> None:
    node = local_mesh.LocalMesh()
    answer_own(node, local_mesh.OWN, LEAVING, LIMIT)
    node.list_instance(local_mesh.OWN, sequence=5)
    assert node.parts.notices.is_leaving
    node.list_instance(local_mesh.OWN, born=1_700_000_009_000, sequence=1)
    assert not node.parts.notices.is_leaving
    assert node.parts.guard.rate_limit.per_s is None


def say_leaving_in_the_list(node: local_mesh.LocalMesh) -> None:
    node.list_instance(local_mesh.OWN, state="draining", sequence=9)


def remove_from_the_list(node: local_mesh.LocalMesh) -> None:
    node.remove_instance(local_mesh.OWN)
    node.confirm_removals()


def say_leaving_in_an_answer(node: local_mesh.LocalMesh) -> None:
    echo = ("jujubetiller-request-id", "r1")
    node.target.requests[0].answer(200, STAMP, echo, ("Server-Leaving", "1"))


@pytest.mark.parametrize(
    "leave", [say_leaving_in_the_list, remove_from_the_list, say_leaving_in_an_answer]
)
def test_a_call_that_waited_is_not_started_at_an_instance_that_leaves(
    leave: Callable[[local_mesh.LocalMesh], None],
) -> None:
    """Guards against calls that reach an instance long after it began to leave."""
    node = local_mesh.LocalMesh()
    for _ in range(40):
        node.receive_call()
    started = len(node.target.requests)
    leave(node)
    for request in node.target.requests[:started]:
        request.answer(200, STAMP)
    assert len(node.target.requests) == started
    refused = [answer for answer in node.answers if answer.code is Code.DRAINING]
    assert len(refused) == 40 - started
    assert node.parts.guard.in_flight == 0
    node.receive_call()
    assert node.answers[-1].code is Code.DRAINING


def test_an_instance_that_this_node_has_not_seen_in_the_list_gets_calls() -> None:
    node = local_mesh.LocalMesh()
    node.receive_call(expected_instance="own-2")
    assert len(node.target.requests) == 1
