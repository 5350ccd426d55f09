"""Guards against wrong answers to calls that run at the node's own target."""

import attrs

from jujubetiller import codes, edge, frames, keys, settings, target
from tests.node import local_node

NAME = edge.OUTCOME_HEADER


def test_a_target_cannot_set_headers_of_the_node() -> None:
    """Guards against a target that copies the headers of a nested call's answer.

    The client would read "not run" although the call ran.
    """
    node = local_node.LocalNode()
    node.send_request(node.edge, "balance")
    copied = [("Jujubetiller-Outcome", "not-run"), ("jujubetiller-KEY", "k")]
    node.target.requests[0].answer(500, *copied, ("X-Own", "1"))
    [reply] = node.replies
    assert [value for name, value in reply.headers if name.lower() == NAME] == [
        "answered"
    ]
    assert ("X-Own", "1") in reply.headers
    assert ("jujubetiller-KEY", "k") not in reply.headers


def test_a_shared_answer_returns_the_retry_tokens_of_each_caller() -> None:
    """Guards against lost retry tokens, and an answer object that callers share.

    An answer without a hop record counts as one that the sending node made itself,
    so the call would be retried. That would break promise P1 of docs/design.md.
    """
    node = local_node.LocalNode()
    key = node.mint("deposit", local_node.OWN)
    for tokens in (4, 3):
        node.receive_call("deposit", key, tokens)
    node.target.requests[0].answer()
    node.receive_call("deposit", key, tokens=2)
    assert len(node.target.requests) == 1
    assert sorted(answer.tokens_returned for answer in node.answers) == [2, 3, 4]
    assert [len(answer.hops) for answer in node.answers] == [1, 1, 1]
    assert {answer.body for answer in node.answers} == {b"done"}
    assert len({id(answer) for answer in node.answers}) == 3


def test_a_replayed_unknown_answer_is_not_retried() -> None:
    """Guards against retry tokens spent on retries that get the same recorded answer.

    That would break promise P1 of docs/design.md.
    """
    node = local_node.LocalNode()
    key = node.mint("deposit", local_node.OWN)
    node.receive_call("deposit", key)
    node.target.requests[0].on_end(
        target.TargetResponse(codes.ResultCode.TARGET_CLOSED_EARLY)
    )
    node.send_request(node.edge, "deposit", key=key)
    node.reactor.advance(1.0)
    counts = node.parts.executions.begin_counts
    assert (len(node.replies), counts[keys.BeginState.REPLAY]) == (1, 1)


def test_an_attached_caller_that_disconnects_is_detached() -> None:
    """Guards against disconnected callers that fill the limit of attached callers."""
    node = local_node.LocalNode()
    key = node.mint("deposit", local_node.OWN)
    node.receive_call("deposit", key)
    for _ in range(node.parts.settings.keys.attached_per_key):
        node.receive_call("deposit", key)()
    node.receive_call("deposit", key)
    assert not node.answers
    node.target.requests[0].answer()
    assert len(node.answers) == 2


def test_an_answer_with_the_highest_number_of_hops_can_be_sent() -> None:
    """Guards against answers that end unknown because their hop records are too many.

    The settings limit the number of hop records.
    """
    field = attrs.fields(settings.RecordSettings).max_hops
    _, most_hops = field.metadata["bounds"]
    # The node adds its own hop record to those of the nested calls.
    answer = attrs.evolve(
        local_node.make_answer(), hops=(local_node.HOP,) * (most_hops + 1)
    )
    encoder = frames.FrameEncoder(settings.StreamSettings().max_frame_bytes)
    encoded = encoder.encode(frames.Answer(1, answer, 0, 0))
    assert isinstance(encoded, bytes), encoded


def test_a_node_that_is_not_ready_runs_no_call_of_a_peer() -> None:
    """Guards against a target whose nested calls find no ticket in force.

    That would break promise P8 of docs/design.md.
    """
    node = local_node.LocalNode()
    node.parts.state.ready = False
    node.receive_call("balance", tokens=3)
    node.receive_call("deposit", node.mint("deposit", local_node.OWN))
    assert not node.target.requests and not node.parts.executions.count_keys()
    assert {answer.code for answer in node.answers} == {codes.ResultCode.NOT_READY}
    assert node.answers[0].tokens_returned == 3
