"""Guards against a second run by duplicates that the target sends itself.

That would break promise P5 of docs/design.md.
"""

from jujubetiller import codes
from tests.node import local_node

Code = codes.ResultCode


def outcome(node: local_node.LocalNode) -> str:
    return local_node.headers(node.replies[-1])["Jujubetiller-Outcome"]


def test_a_refused_duplicate_keeps_the_key_of_the_first() -> None:
    """Guards against a new key for a call that may have run under another."""
    node = local_node.LocalNode()
    context = node.run_deposit()
    node.send_request(node.service, "book", context=context)
    node.pool.calls[0].reply(local_node.make_answer(Code.DEADLINE_PASSED))
    ledger = node.parts.contexts.contexts[context].ledger
    tokens, ledger.remaining = ledger.remaining, 0
    node.send_request(node.service, "book", context=context)
    assert len(node.pool.calls) == 1
    node.pool.seals[0][1](False)
    ledger.remaining = tokens
    node.send_request(node.service, "book", context=context)
    first, second = (call.request.key for call in node.pool.calls)
    assert first == second != ""


def test_a_duplicate_is_not_sent_while_the_first_is_under_way() -> None:
    """Guards against two keys for one call, and a key replaced while both use it."""
    for first_connects in (True, False):
        node = local_node.LocalNode()
        node.parts.router.update_instances((local_node.PEER,))
        if first_connects:
            node.pool.identities.clear()
        context = node.run_deposit()
        node.send_request(node.service, "book", context=context)
        node.send_request(node.service, "book", context=context)
        assert len(node.pool.calls) + len(node.pool.connects) == 1
        assert (len(node.replies), outcome(node)) == (1, "unknown")
        if first_connects:
            node.pool.connects[0](local_node.make_identity(local_node.PEER))
        node.pool.calls[0].reply(local_node.make_answer())
        assert (len(node.replies), outcome(node)) == (2, "answered")
        assert node.parts.state.calls_under_way == 0


def test_a_duplicate_under_the_targets_key_keeps_the_key_of_the_first() -> None:
    """Guards against a new key after a duplicate under another one was refused."""
    node = local_node.LocalNode()
    context = node.run_deposit()
    node.send_request(node.service, "book", context=context)
    node.pool.calls[0].reply(local_node.make_answer(Code.DEADLINE_PASSED))
    node.send_request(node.service, "book", context=context, key=node.mint("book"))
    node.pool.calls[1].reply(local_node.make_answer(Code.QUEUE_FULL, True, 4))
    node.send_request(node.service, "book", context=context)
    keys = [call.request.key for call in node.pool.calls]
    assert keys[0] == keys[2] != keys[1]


def test_a_duplicate_after_a_cancel_has_the_same_key() -> None:
    """Guards against a new key for a call that was cancelled while it ran."""
    node = local_node.LocalNode()
    context = node.run_deposit()
    node.send_request(node.service, "book", context=context)()
    node.send_request(node.service, "book", context=context)
    first, second = (call.request.key for call in node.pool.calls)
    assert first == second != ""


def test_a_context_stores_no_idempotent_call() -> None:
    """Guards against request bodies kept in memory although no key has to be kept."""
    node = local_node.LocalNode()
    context = node.run_deposit()
    for kind in ("slots", "book"):
        node.send_request(node.service, kind, context=context)
        node.pool.calls[-1].reply(local_node.make_answer(Code.DEADLINE_PASSED))
    kept = node.parts.contexts.contexts[context].requests.values()
    assert [request.kind for request in kept] == ["book"]
