"""Guards against a broken connection that passes for the end of the target."""

import pytest

from jujubetiller import codes, target
from tests.mesh import local_mesh

Code = codes.ResultCode
LOST = target.TargetResponse(Code.TARGET_CLOSED_EARLY)


@pytest.mark.parametrize(
    ("probe_result", "ended"),
    [
        (target.ProbeResult.LISTENS, []),
        (target.ProbeResult.UNCLEAR, []),
        (target.ProbeResult.REFUSED, ["r2", "r1"]),
    ],
)
def test_the_calls_that_ran_are_reported_only_if_no_process_listens(
    probe_result: target.ProbeResult, ended: list[str]
) -> None:
    node = local_mesh.LocalMesh()
    node.target.ends_probes = False
    reported: list[str] = []
    node.parts.watch.target_ended = lambda lost: reported.extend(
        call.request_id for call in lost
    )
    node.receive_call()
    node.reactor.advance(0.05)
    node.receive_call(headers=(("jujubetiller-request-id", "r2"),))
    for sent in node.target.requests:
        sent.on_end(LOST)
    assert node.answers == []
    assert len(node.target.probes) == 1
    node.target.probes[0](probe_result)
    assert reported == ended
    code = Code.TARGET_CRASHED if ended else Code.TARGET_CLOSED_EARLY
    assert {answer.code for answer in node.answers} == {code}
    assert [answer.outcome for answer in node.answers] == [codes.Outcome.UNKNOWN] * 2
    assert node.parts.watch.counts == {probe_result.value: 1}


def test_a_node_that_stops_answers_lost_calls_at_once() -> None:
    node = local_mesh.LocalMesh()
    node.target.ends_probes = False
    node.receive_call()
    node.parts.state.draining = True
    node.target.requests[0].on_end(LOST)
    assert len(node.answers) == 1
    assert node.target.probes == []
