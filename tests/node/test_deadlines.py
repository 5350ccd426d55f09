"""Guards against answers that come after the deadline of their caller."""

import pytest

from jujubetiller import codes
from tests.node import local_node

Code = codes.ResultCode


def test_a_connect_lasts_no_longer_than_the_deadline() -> None:
    """Guards against a late answer, and an instance marked unreachable by mistake.

    The connect is cut off by the deadline, not by a fault of the instance.
    """
    node = local_node.LocalNode()
    node.pool.identities.clear()
    node.send_request(node.edge, "book", deadline_ms="50")
    assert node.pool.connect_timeouts_ms == [50.0]
    node.reactor.advance(0.06)
    node.pool.connects[0](None)
    [reply] = node.replies
    code = local_node.headers(reply)["Jujubetiller-Code"]
    assert code == str(Code.DEADLINE_SPENT.value)
    assert all(
        stats.reachable for stats in node.parts.router.pools["booth"].own_zone_stats
    )
    assert (
        len(node.parts.router.pools["booth"].own_zone_stats),
        node.outstanding(),
    ) == (2, 0)


@pytest.mark.parametrize("disconnects", [True, False])
def test_a_caller_attached_to_a_running_key_waits_until_its_own_deadline(
    disconnects: bool,
) -> None:
    """Guards against a caller that waits until the deadline of another caller."""
    node = local_node.LocalNode()
    key = node.mint("deposit", local_node.OWN)
    node.receive_call("deposit", key)
    cancel = node.send_request(node.edge, "deposit", key=key, deadline_ms="50")
    if disconnects:
        cancel()
    node.reactor.advance(0.06)
    assert len(node.replies) == (not disconnects)
    assert node.parts.state.calls_under_way == 0
    node.target.requests[0].answer()
    assert (len(node.replies), len(node.answers)) == (not disconnects, 1)
    assert not node.reactor.getDelayedCalls()
