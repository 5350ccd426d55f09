"""Guards against a periodic task that stops for good when a callback raises."""

from typing import Any

import pytest

from jujubetiller import calls, codes, limits
from jujubetiller.node import _platform_reading
from tests.node import local_node


def test_an_exception_in_one_refusal_does_not_block_other_entries() -> None:
    """Guards against entries that are neither started nor refused.

    That would break promise P9 of docs/design.md.
    """
    node = local_node.LocalNode()
    guard, refused = node.parts.guard, list[codes.ResultCode]()
    guard.limit = 0

    def fail(code: codes.ResultCode) -> None:
        raise ValueError(code)

    for refuse in (fail, refused.append):
        deadline = calls.Deadline.after(node.parts.clock, 50.0)
        guard.submit(limits.GuardEntry(1, 0, deadline, start=fail, refuse=refuse))  # type: ignore[arg-type]
    node.parts.guard_timer.arm()
    with pytest.raises(ValueError):
        node.reactor.advance(0.06)
    node.reactor.advance(0.06)
    assert (refused, guard.queue_length) == ([codes.ResultCode.QUEUE_DEADLINE], 0)


def test_an_exception_in_the_election_does_not_end_the_reading() -> None:
    """Guards against a node that never reads the platform again.

    That would break promise P8 of docs/design.md.
    """
    node = local_node.LocalNode()
    checks: list[float] = []

    class Exchange:
        def partition_size(self) -> int:
            checks.append(node.reactor.seconds())
            raise ValueError("fault of a test")

        table = None

    exchange: Any = Exchange()
    loop: Any = None
    reading = _platform_reading.PlatformReading(node.parts, exchange, loop)
    with pytest.raises(ValueError):
        reading.start()
    with pytest.raises(ValueError):
        node.reactor.advance(_platform_reading.CHECK_MS / 1000.0)
    assert len(checks) == 2
