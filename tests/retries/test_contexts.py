"""Guards against duplicates that cost no retry token and unbounded contexts."""

import random

from jujubetiller import calls, clock, codes, records, retries, settings

Nested = retries.NestedCallType


def test_duplicates_are_distinguished_from_distinct_work() -> None:
    detector = retries.DuplicateDetector(nested_calls=7)
    assert detector.classify(1) is Nested.FIRST
    assert detector.classify(1) is Nested.DUPLICATE, "the first is still under way"
    detector.finished(1, successful=True)
    detector.finished(1, successful=True)
    assert detector.classify(1) is Nested.FIRST, "the earlier ones succeeded"
    detector.finished(1, successful=False)
    assert detector.classify(1) is Nested.DUPLICATE, "the earlier one failed"
    detector.finished(1, successful=False)
    assert [detector.classify(key) for key in (2, 1, 3)] == [
        Nested.FIRST,
        Nested.DUPLICATE,
        Nested.FIRST,
    ]
    assert detector.classify(4) is Nested.LIMIT


def test_an_answer_is_successful_unless_clients_retry_on_it() -> None:
    for status, successful in ((200, True), (404, True), (429, False), (503, False)):
        answer = calls.CallAnswer(
            codes.Outcome.ANSWERED, codes.ResultCode.ANSWERED, status
        )
        assert retries.is_successful(answer) is successful
    assert not retries.is_successful(calls.make_refusal(codes.ResultCode.QUEUE_FULL))


def test_the_table_is_bounded_and_a_closed_context_cannot_spend() -> None:
    table = retries.ContextTable(
        random.Random(1), settings.RetrySettings(), capacity=1, max_hops=2
    )
    deadline = calls.Deadline.after(clock.ManualClock(), 100)
    context = table.open(deadline, 0, 5, "tree", 0, tokens=5).unwrap()
    refused = table.open(deadline, 0, 5, "tree", 0, tokens=5)
    assert refused.unwrap_err() is codes.ResultCode.TOO_MANY_CALLS
    assert table.refused == 1
    hop = records.HopRecord("a", "ledger", "queue", 100)
    context.add_hops((hop, hop, hop))
    assert (len(context.hops), context.hops_dropped) == (2, 1)
    lent = context.ledger.lend()
    assert table.close(context.context_id) == 2
    context.ledger.reclaim(lent, lent)
    assert not context.ledger.spend(), "its tokens were returned with the answer"
    assert table.find(context.context_id) is None
    assert table.close(context.context_id) == 0
