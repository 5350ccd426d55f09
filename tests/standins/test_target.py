"""Guards against a target whose run counters or refusals are wrong."""

import contextlib
import http.client
from typing import Any

import pytest

from standins import answers
from tests.standins import running

PATHS = {
    "/sell": {"run_ms": 1, "calls": [{"service": "ledger", "path": "/post"}]},
    "/post": {"run_ms": 1, "answer_bytes": 100_000},
    "/cut": {"run_ms": 1, "fault": "close"},
    "/stuck": {"run_ms": 1, "fault": "freeze"},
}


def plan(service: str, **more: Any) -> dict[str, Any]:
    return {"instance": f"{service}-1", "service": service, "paths": PATHS} | more


def test_nested_answers_are_complete_and_runs_are_counted() -> None:
    with (
        running.start("standins.target", plan("ledger")) as ledger,
        running.start("standins.target", plan("booth")) as booth,
    ):
        routes = {"*": [{"host": "127.0.0.1", "port": ledger["http"]}]}
        assert running.call(booth["http"], "PUT", "/_routes", routes)[0] == 200
        with contextlib.closing(
            http.client.HTTPConnection("127.0.0.1", booth["http"], timeout=10)
        ) as connection:
            connection.request("POST", "/booth/sell", b"sale", {"Marker": "m1"})
            answer = connection.getresponse()
            assert answer.status == 200
            assert answers.find_fault(answer.read(), "m1", b"sale") == ""
        counts = running.call(ledger["http"], "GET", "/_runs")[1]
        assert counts["by_marker"] == {"m1/0-ledger": 1}


def test_a_full_or_draining_target_refuses_requests() -> None:
    with running.start("standins.target", plan("b", slots=1, queue_length=0)) as ports:
        port = ports["http"]
        stuck = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        with contextlib.closing(stuck):
            stuck.request("GET", "/stuck")
            wait_for_runs(port, "running", 1)
            assert running.call(port, "GET", "/post")[0] == 503
        # Closing the connection cancels the run and frees its slot.
        wait_for_runs(port, "running", 0)
        assert running.call(port, "GET", "/post")[0] == 200
        assert running.call(port, "PUT", "/_state", {"draining": True})[0] == 200
        assert running.call(port, "GET", "/post")[0] == 503
        assert running.call(port, "GET", "/_health")[0] == 503
        counts = running.call(port, "GET", "/_runs")[1]
        assert counts["ends"] == {
            "shed": 1,
            "cancelled running": 1,
            "completed running": 1,
            "draining": 1,
        }


def wait_for_runs(port: int, name: str, number: int) -> None:
    for _ in range(2_000):
        if running.call(port, "GET", "/_runs")[1][name] == number:
            return
    pytest.fail(f"{name} did not become {number}")


def test_a_truncated_response_body_is_detected() -> None:
    with running.start("standins.target", plan("booth")) as ports:
        with pytest.raises(http.client.IncompleteRead):
            running.call(ports["http"], "GET", "/cut")
        assert running.call(ports["http"], "PUT", "/_paths", {"/": 1})[0] == 400
