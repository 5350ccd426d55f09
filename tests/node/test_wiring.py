"""Guards against a key, rank or cancellation that does not reach the next node."""

from jujubetiller import codes
from tests.node import local_node

Code = codes.ResultCode


def test_a_keyed_call_goes_only_to_its_owner() -> None:
    """Guards against a second run at an instance that does not own the key.

    That would break promise P5 of docs/design.md.
    """
    for owner in (local_node.PEER, local_node.OTHER) * 5:
        node = local_node.LocalNode()
        key = node.mint("book", owner)
        node.send_request(node.edge, "book", key=key)
        node.pool.calls[0].reply(local_node.make_answer(Code.STREAM_LOST, False))
        node.reactor.advance(0.3)
        assert [call.address for call in node.pool.calls] == [owner.address] * 2
        assert {call.request.key for call in node.pool.calls} == {key}


def test_the_key_of_a_call_refused_at_the_entry_is_sealed() -> None:
    """Guards against "not run" while another call under the key may run.

    That would break promise P4 of docs/design.md.
    """
    for confirmed, outcome in ((True, "not-run"), (False, "unknown")):
        node = local_node.LocalNode()
        node.parts.state.draining = True
        key = node.mint("book")
        node.send_request(node.edge, "book", key=key)
        assert not node.replies and not node.pool.calls
        [(sealed, reply)] = node.pool.seals
        assert sealed == key
        reply(confirmed)
        [answer] = node.replies
        assert local_node.headers(answer)["Jujubetiller-Outcome"] == outcome
        # A sealed key can't be used again; a key that may have run must be.
        shown = local_node.headers(answer).get("Jujubetiller-Key")
        assert shown == (None if confirmed else key)
        assert node.parts.state.calls_under_way == 0


def test_nested_calls_inherit_rank_depth_and_the_shorter_deadline() -> None:
    """Guards against a nested call that is shed before its tree is.

    That would break promise P2 of docs/design.md.
    """
    node = local_node.LocalNode()
    node.receive_call("balance")
    context = node.control(node.target.requests[0], "jujubetiller-context")
    node.reactor.advance(0.1)
    node.send_request(node.service, "slots", context=context)
    node.send_request(node.service, "slots")
    inherited, bare = (call.request for call in node.pool.calls)
    assert (inherited.rank, inherited.depth) == (local_node.PRIORITY_CLASS * 128 + 7, 4)
    assert inherited.deadline_left_ms == 400.0
    assert (bare.priority_class, bare.rank // 128, bare.retry_tokens) == (7, 7, 0)


def test_the_rank_of_the_entry_is_sent_with_the_call() -> None:
    """Guards against calls that lose the priority class of their kind at the entry.

    That would break promise P2 of docs/design.md.
    """
    node = local_node.LocalNode()
    node.send_request(node.edge, "slots")
    request = node.pool.calls[0].request
    assert request.rank // 128 == request.priority_class == local_node.PRIORITY_CLASS


def test_a_disconnected_caller_cancels_the_calls_below() -> None:
    """Guards against calls and counts that remain after their caller disconnected."""
    node = local_node.LocalNode()
    node.send_request(node.edge, "slots")()
    cancel_run = node.receive_call("balance")
    context = node.control(node.target.requests[0], "jujubetiller-context")
    node.send_request(node.service, "slots", context=context)()
    cancel_run()
    assert [call.cancelled for call in node.pool.calls] == [1, 1]
    assert [sent.cancelled for sent in node.target.requests] == [1]
    assert (node.outstanding(), node.parts.state.calls_under_way) == (0, 0)
    assert (node.parts.guard.in_flight, node.parts.contexts.contexts) == (0, {})
    assert not node.replies and not node.answers


def test_a_duplicate_by_the_target_costs_a_token_and_has_the_same_key() -> None:
    """Guards against a second run by a duplicate that the target sends itself.

    That would break promises P1 and P5 of docs/design.md.
    """
    node = local_node.LocalNode()
    context = node.run_deposit()
    ledger = node.parts.contexts.contexts[context].ledger
    node.send_request(node.service, "book", context=context)
    lent = node.pool.calls[0].request.retry_tokens
    node.pool.calls[0].reply(local_node.make_answer(Code.DEADLINE_PASSED))
    left = ledger.remaining
    node.send_request(node.service, "book", context=context)
    first, second = (call.request for call in node.pool.calls)
    assert first.key and first.key == second.key
    assert ledger.remaining + second.retry_tokens == left - 1
    assert left + lent == 4
