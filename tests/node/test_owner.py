"""Guards against a key whose outcome is decided by a process other than its owner.

That would break promises P4 and P5 of docs/design.md.
"""

import pytest

from jujubetiller import codes, edge
from tests.node import local_node

Code = codes.ResultCode
STREAM_LOST = local_node.make_answer(Code.STREAM_LOST, False)


def outcome(node: local_node.LocalNode) -> str:
    return local_node.headers(node.replies[-1])["Jujubetiller-Outcome"]


@pytest.mark.parametrize("code", [Code.WRONG_SERVICE, Code.BAD_KEY, Code.NOT_READY])
def test_another_process_at_the_address_does_not_decide_the_outcome(code: Code) -> None:
    """Guards against a second run after another process took the owner's address."""
    node = local_node.LocalNode()
    node.send_request(node.edge, "book")
    node.pool.calls[0].reply(STREAM_LOST)
    node.reactor.advance(0.3)
    node.pool.calls[1].reply(local_node.make_answer(code, tokens_returned=9))
    node.reactor.advance(0.3)
    assert len({call.request.key for call in node.pool.calls}) == 1
    for call in node.pool.calls[2:]:
        call.reply(local_node.make_answer(code))
    assert (len(node.replies), outcome(node)) == (1, "unknown")


def test_a_caller_key_that_another_process_refused_is_sealed() -> None:
    """Guards against "not run" from a process that does not own the key."""
    node = local_node.LocalNode()
    node.send_request(node.edge, "book", key=node.mint("book"))
    node.pool.calls[0].reply(local_node.make_answer(Code.BAD_KEY))
    node.pool.seals[0][1](False)
    assert (len(node.replies), outcome(node)) == (1, "unknown")


def test_a_key_is_minted_only_for_the_instance_that_was_chosen() -> None:
    """Guards against a key that no process runs, after another took the address."""
    node = local_node.LocalNode()
    message = edge.EdgeMessage("POST", "/_keys/book", (), {}, b"")
    node.edge.handle(message, node.replies.append)
    node.pool.connects[0](local_node.make_identity(local_node.OWN))
    headers = local_node.headers(node.replies[0])
    assert headers["Jujubetiller-Code"] == str(Code.PEER_UNREACHABLE.value)
