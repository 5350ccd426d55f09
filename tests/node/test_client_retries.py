"""Guards against client retries that run twice or end "not run" after a run."""

import pytest

from jujubetiller import codes
from tests.node import local_node

Code = codes.ResultCode
TOKEN = "Jujubetiller-Retry-Token"


def end_unknown(
    node: local_node.LocalNode, kind: str, **control: str
) -> dict[str, str]:
    """Send a request that may have run and return the headers of its answer."""
    node.send_request(node.edge, kind, **control)
    code = Code.DEADLINE_PASSED
    node.pool.calls[-1].reply(local_node.make_answer(code, tokens_returned=9))
    return local_node.headers(node.replies[-1])


@pytest.mark.parametrize("has_another_key", [True, False])
def test_a_client_retry_under_another_key_is_not_sent(has_another_key: bool) -> None:
    """Guards against a second run under a key whose owner does not know of the first.

    That would break promise P5 of docs/design.md.
    """
    node = local_node.LocalNode()
    first = end_unknown(node, "book")
    key = {"key": node.mint("book")} if has_another_key else {}
    node.send_request(node.edge, "book", retry_token=first[TOKEN], **key)
    second = local_node.headers(node.replies[-1])
    assert len(node.pool.calls) == 1
    assert second["Jujubetiller-Outcome"] == "unknown"
    # The retry token of the refusal must still hold the digest of the first key.
    node.send_request(node.edge, "book", retry_token=second[TOKEN], **key)
    assert len(node.pool.calls) == 1


def test_a_client_retry_under_the_same_key_gets_the_answer_of_its_owner() -> None:
    """Guards against the outcome unknown although the owner has sealed the key."""
    node = local_node.LocalNode()
    first = end_unknown(node, "book")
    key = first["Jujubetiller-Key"]
    node.send_request(node.edge, "book", retry_token=first[TOKEN], key=key)
    node.pool.calls[1].reply(local_node.make_answer(Code.KEY_SEALED))
    headers = local_node.headers(node.replies[-1])
    assert headers["Jujubetiller-Outcome"] == "not-run"


def test_a_client_retry_after_a_refusal_without_a_seal_is_sent_under_its_key() -> None:
    """Guards against a retry token without the key digest of the refused request."""
    node = local_node.LocalNode()
    key = node.mint("book")
    node.parts.state.draining = True
    node.send_request(node.edge, "book", key=key)
    node.pool.seals[0][1](False)
    token = local_node.headers(node.replies[0])[TOKEN]
    node.parts.state.draining = False
    node.send_request(node.edge, "book", key=key, retry_token=token)
    assert [call.request.key for call in node.pool.calls] == [key]


def test_another_key_of_an_idempotent_retry_does_not_report_not_run() -> None:
    """Guards against "not run" from the owner of a key that only the retry had.

    That would break promise P4 of docs/design.md.
    """
    node = local_node.LocalNode()
    first = end_unknown(node, "slots")
    key = node.mint("slots")
    node.send_request(node.edge, "slots", retry_token=first[TOKEN], key=key)
    node.pool.calls[1].reply(local_node.make_answer(Code.QUEUE_DEADLINE))
    headers = local_node.headers(node.replies[-1])
    assert headers["Jujubetiller-Outcome"] == "unknown"
