"""Guards against "not run" for a key that ran or may still run.

That would break promises P4 and P5 of docs/design.md.
"""

import pytest

from jujubetiller import codes, keys
from tests.node import local_node

Code = codes.ResultCode


def outcome(node: local_node.LocalNode) -> str:
    return local_node.headers(node.replies[-1])["Jujubetiller-Outcome"]


@pytest.mark.parametrize(
    "control",
    [{"retry_token": "bad"}, {"deadline_ms": "soon"}],
    ids=["token", "deadline"],
)
@pytest.mark.parametrize("site", ["edge", "service"])
def test_an_invalid_request_with_a_key_is_refused_after_a_seal(
    site: str, control: dict[str, str]
) -> None:
    """Guards against "not run" for a duplicate while the first request is running."""
    if site == "service" and "retry_token" in control:
        control = {"context": "closed"}
    for confirmed, expected in ((True, "not-run"), (False, "unknown")):
        node = local_node.LocalNode()
        node.send_request(getattr(node, site), "book", key=node.mint("book"), **control)
        assert not node.replies
        node.pool.seals[0][1](confirmed)
        assert (len(node.replies), outcome(node)) == (1, expected)


def test_a_duplicate_without_a_token_seals_the_key_of_the_first() -> None:
    """Guards against "not run" for a target's call whose outcome is unknown."""
    node = local_node.LocalNode(retry_tokens=0)
    node.receive_call("deposit", node.mint("deposit", local_node.OWN), tokens=0)
    context = node.control(node.target.requests[0], "jujubetiller-context")
    node.send_request(node.service, "book", context=context)
    node.pool.calls[0].reply(local_node.make_answer(Code.STREAM_LOST, False))
    node.send_request(node.service, "book", context=context)
    [(key, sealed)] = node.pool.seals
    assert key == node.pool.calls[0].request.key
    sealed(False)
    assert (len(node.replies), outcome(node)) == (2, "unknown")


def test_a_nested_call_under_the_key_of_its_parent_is_refused() -> None:
    """Guards against a target that passes on all headers that it received.

    The nested call would wait for the running one, or get its answer. This is
    promise P3 of docs/design.md.
    """
    node = local_node.LocalNode()
    context = node.run_deposit()
    key = node.control(node.target.requests[0], "jujubetiller-key")
    for kind in ("refund", "book"):
        node.send_request(node.service, kind, context=context, key=key)
        code = local_node.headers(node.replies[-1])["Jujubetiller-Code"]
        assert (code, outcome(node)) == (str(Code.BAD_KEY.value), "not-run")
    assert not node.pool.calls and not node.pool.seals
    assert node.parts.executions.begin_counts[keys.BeginState.ATTACH] == 0
