"""Guards against wrong counts of calls in flight after a call was cancelled."""

import pytest

from jujubetiller import codes
from tests.node import local_node

Code = codes.ResultCode


@pytest.mark.parametrize("kind", ["slots", "book"])
@pytest.mark.parametrize("wait_s", [0.0, 0.3])
def test_a_cancel_after_an_attempt_counts_the_attempt_once(
    kind: str, wait_s: float
) -> None:
    """Guards against a cancel that decrements the count of another call, or raises.

    The call is cancelled in its backoff, or while the second attempt connects.
    """
    node = local_node.LocalNode()
    node.parts.router.update_instances((local_node.PEER,))
    node.send_request(node.edge, "slots")
    cancel = node.send_request(node.edge, kind)
    first = node.pool.calls[1]
    node.pool.identities.clear()
    first.reply(local_node.make_answer(Code.QUEUE_FULL))
    node.reactor.advance(wait_s)
    cancel()
    node.reactor.advance(0.3)
    for on_result in node.pool.connects:
        on_result(None)
    assert node.outstanding() == 1
    assert node.parts.state.calls_under_way == 1
