"""Guards against a caller that waits longer than its deadline."""

import pytest

from jujubetiller import codes
from tests.node import local_node

Code = codes.ResultCode


def test_a_connect_lasts_no_longer_than_the_deadline() -> None:
    """Guards against a late answer, and an instance blamed for a short deadline."""
    node = local_node.LocalNode()
    node.pool.identities.clear()
    node.ask(node.edge, "book", deadline_ms="50")
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


@pytest.mark.parametrize("goes_away", [True, False])
def test_a_caller_that_waits_for_a_running_key_waits_to_its_deadline(
    goes_away: bool,
) -> None:
    """Guards against a caller of this node that waits for another one's deadline."""
    node = local_node.LocalNode()
    key = node.mint("deposit", local_node.OWN)
    node.receive("deposit", key)
    cancel = node.ask(node.edge, "deposit", key=key, deadline_ms="50")
    if goes_away:
        cancel()
    node.reactor.advance(0.06)
    assert len(node.replies) == (not goes_away)
    assert node.parts.state.calls_under_way == 0
    node.target.requests[0].answer()
    assert (len(node.replies), len(node.answers)) == (not goes_away, 1)
    assert not node.reactor.getDelayedCalls()
