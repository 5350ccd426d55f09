"""Guards against a stand-in that is more lenient or stricter than the real service."""

from collections.abc import Iterator
from typing import Any

import pytest

from tests.standins import running


@pytest.fixture
def ports() -> Iterator[dict[str, int]]:
    with running.start("standins.platform", {"reads_per_second": 50}) as chosen:
        yield chosen


def index(ports: dict[str, int]) -> Any:
    return running.call(ports["values"], "GET", "/v1/values/tickets/index")[1]


def publish(ports: dict[str, int], number: int) -> None:
    ticket = {"number": number, "objects": {"site/policy": {}}}
    assert running.call(ports["operator"], "POST", "/tickets", ticket)[0] == 200


def test_tickets_update_the_index_and_notify_watches(ports: dict[str, int]) -> None:
    publish(ports, 7)
    publish(ports, 5)
    current = index(ports)
    assert current["value"] == {"highest": 7, "objects": {"site/policy": 7}}
    path = f"/v1/watch/tickets/index?wait_ms=1&after={current['version']}"
    assert running.call(ports["values"], "GET", path)[0] == 204
    path = f"/v1/watch/tickets/index?wait_ms=9000&after={current['version'] - 1}"
    assert running.call(ports["values"], "GET", path)[0] == 200
    assert running.call(ports["values"], "GET", "/v1/values/tickets/6")[0] == 404


@pytest.mark.parametrize(("mode", "highest"), [("stale", 2), ("older", 2)])
def test_outdated_answers(ports: dict[str, int], mode: str, highest: int) -> None:
    publish(ports, 2)
    assert running.call(ports["operator"], "PUT", "/faults", {"mode": mode})[0] == 200
    publish(ports, 3)
    assert index(ports)["value"]["highest"] == highest
    assert running.call(ports["operator"], "PUT", "/faults", {"mode": "none"})[0] == 200
    assert index(ports)["value"]["highest"] == 3


def test_down_resets_connections(ports: dict[str, int]) -> None:
    assert running.call(ports["operator"], "PUT", "/faults", {"mode": "down"})[0] == 200
    with pytest.raises(OSError):
        index(ports)
    assert running.call(ports["operator"], "PUT", "/faults", {"mode": "odd"})[0] == 400


def test_reads_over_the_rate_are_refused(ports: dict[str, int]) -> None:
    statuses = [
        running.call(ports["values"], "GET", "/v1/values/vms/zones")[0]
        for _ in range(300)
    ]
    assert 429 in statuses
    counters = running.call(ports["operator"], "GET", "/counters")[1]
    assert counters["highest_rate"] == 50
    assert counters["refused"] == statuses.count(429)


def test_sigterm_followed_by_end_of_input_exits_cleanly() -> None:
    with running.start_process("standins.platform", {}) as process:
        running.read_lines(process, 1)
        process.terminate()
