"""A read from an unreachable platform must end at the connect timeout.

It guards against a connect timeout that is not applied: a reader would then wait
with each read until its watch is closed as silent.
"""

from typing import Any

import result

from jujubetiller import platform_client
from standins.fleet import local_fleet, network


def test_connect_timeout_is_in_force() -> None:
    """Without an answer to the connect, the read ends as unreachable after 1 s."""
    fleet = local_fleet.Fleet()
    reading = fleet.nodes["gate-1"].platform_reading
    assert reading is not None
    answers: list[Any] = []
    fleet.network.cut("a", "platform")
    reading.client.read("tickets/index").addCallback(answers.append)
    assert fleet.network.run_until(lambda: bool(answers), 1_000 + 2 * network.STEP_MS)
    assert answers == [result.Err(platform_client.ReadProblem.UNREACHABLE)]
