"""Guards against a load driver that counts refusals or wrong answers as good."""

import json
from typing import Any

from standins import answers
from tests.standins import running


def drive(port: int, **more: Any) -> Any:
    kind = {"name": "sale", "service": "booth", "path": "/sell", "rate": 200}
    plan = {
        "entries": [{"host": "127.0.0.1", "port": port}],
        "kinds": [kind | more],
        "phases": [{"duration_ms": 100, "factor": 0}, {"duration_ms": 300}],
        "report_markers": 1_000,
    }
    with running.start_process("standins.load", plan) as process:
        return json.loads(running.read_lines(process, 2)[1])


def test_every_request_has_one_outcome_and_one_run() -> None:
    paths = {"/sell": {"run_ms": 5}}
    # Slots for all requests at once: a driver that was delayed sends them in a burst.
    plan = {"instance": "booth-1", "service": "booth", "paths": paths, "slots": 500}
    with running.start("standins.target", plan) as ports:
        summary = drive(ports["http"], deadline_ms=5_000)
        counts = summary["kinds"]["sale"]
        assert counts["outcomes"] == {"good": counts["requests"]}
        assert counts["good_ms"]["count"] == counts["requests"] > 0
        runs = running.call(ports["http"], "GET", "/_runs")[1]["by_marker"]
        assert runs == {request["marker"]: 1 for request in summary["requests"]}


def test_refused_requests_are_retried_as_often_as_planned() -> None:
    plan = {"instance": "booth-1", "service": "booth", "slots": 1, "queue_length": 0}
    with running.start("standins.target", plan | {"paths": {"*": {"run_ms": 500}}}) as (
        ports
    ):
        summary = drive(ports["http"], retries=2, retry_mode="hard", deadline_ms=5_000)
    refused = [one for one in summary["requests"] if one["end"] == "not-run"]
    assert refused
    assert all(one["attempts"] == ["not-run"] * 3 for one in refused)


def test_wrong_nested_answer_is_detected() -> None:
    document = answers.make_document("m", "booth", "b", "", b"sale")
    document["nested"] = [
        {"marker": "m/0", "body": {**document, "marker": "m/1", "end": "m/1"}}
    ]
    assert answers.find_fault(answers.encode(document), "m", b"sale") == (
        "nested not-its-own"
    )
