"""Guards against a limit that is reduced because another service is slow."""

import pytest

from jujubetiller import codes, target
from tests.node import local_node


@pytest.mark.parametrize(("waits_for_nested", "samples"), [(True, 0), (False, 1)])
def test_a_passed_deadline_is_a_failure_unless_a_nested_call_is_under_way(
    waits_for_nested: bool, samples: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    node = local_node.LocalNode()
    recorded: list[bool] = []
    guard = node.parts.guard
    monkeypatch.setattr(
        guard.policy, "record", lambda sample: recorded.append(sample.succeeded)
    )
    node.receive_call("balance")
    [sent] = node.target.requests
    if waits_for_nested:
        context = node.control(sent, "jujubetiller-context")
        node.send_request(node.service, "slots", context=context)
    sent.on_end(target.TargetResponse(codes.ResultCode.DEADLINE_PASSED))
    assert recorded == [False] * samples
    assert guard.in_flight == 0
