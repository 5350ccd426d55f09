"""Guards against tickets that are accepted in part or with wrong values."""

import json
from typing import Any

import pytest
import result

from jujubetiller import codes, tickets

KIND: dict[str, Any] = {
    "service": "ledger",
    "method": "POST",
    "path_prefix": "/deposits",
    "priority_class": 0,
    "idempotent": False,
    "deadline_ms": 2_000,
}
VALID: dict[str, Any] = {
    "number": 12,
    "author": "operator-1",
    "objects": {
        "service/ledger": {"slots": 25, "limit_policy": "gradient"},
        "request_kind/deposit": KIND,
        "site/policy": {"site": "klang", "queue_order": "priority"},
        "service/old": None,
    },
}


def test_text_and_document_give_the_same_ticket() -> None:
    parsed = tickets.parse_ticket(json.dumps(VALID))
    assert parsed == tickets.parse_ticket(VALID)
    assert isinstance(parsed, result.Ok)
    kind = parsed.ok_value.objects["request_kind/deposit"].parsed
    assert isinstance(kind, tickets.RequestKind)
    assert (kind.name, kind.retry_tokens) == ("deposit", 3)
    assert parsed.ok_value.objects["service/old"].content is None


@pytest.mark.parametrize(
    ("change", "field", "words"),
    [
        ({"number": 0}, "number", "from 1"),
        ({"number": True}, "number", "whole numbers"),
        ({"author": ""}, "author", "1 to 100"),
        ({"extra": 1}, "extra", "number, author, objects"),
        ({"objects": {}}, "objects", "1 to 2000"),
        ({"objects": {"service/": None}}, "objects.service/", "service/<name>"),
        ({"objects": {"site/other": None}}, "objects.site/other", "site/policy"),
        ({"objects": {"service/a": 5}}, "objects.service/a", "object or null"),
        ({"objects": {"service/a": {}}}, "objects.service/a.slots", "is missing"),
        (
            {"objects": {"service/a": {"slots": 0}}},
            "objects.service/a.slots",
            "from 1 to 100000",
        ),
        (
            {"objects": {"service/a": {"slots": 1, "name": "b"}}},
            "objects.service/a.name",
            "'a'",
        ),
        (
            {"objects": {"service/a": {"slots": 1, "queue_order": "lifo"}}},
            "objects.service/a.queue_order",
            "arrival, priority",
        ),
        (
            {"objects": {"request_kind/a": {**KIND, "deadline_ms": 25_001}}},
            "objects.request_kind/a.deadline_ms",
            "from 1 to 25000",
        ),
        (
            {"objects": {"request_kind/a": {**KIND, "priority_class": 8}}},
            "objects.request_kind/a.priority_class",
            "from 0 to 7",
        ),
        (
            {"objects": {"request_kind/a": {**KIND, "path_prefix": "x"}}},
            "objects.request_kind/a.path_prefix",
            "start with '/'",
        ),
        (
            {"objects": {"request_kind/a": KIND, "request_kind/b": KIND}},
            "objects.request_kind/b.path_prefix",
            "request_kind/a has the same",
        ),
    ],
)
def test_a_problem_names_the_field_and_what_is_allowed(
    change: dict[str, Any], field: str, words: str
) -> None:
    parsed = tickets.parse_ticket({**VALID, **change})
    assert isinstance(parsed, result.Err)
    assert parsed.err_value.code is codes.ResultCode.BAD_TICKET
    assert parsed.err_value.field == field
    assert words in parsed.err_value.message


@pytest.mark.parametrize("text", ["{", "[]", "null", b"\xff", "[" * 100_000])
def test_text_that_is_not_a_ticket_is_rejected(text: str | bytes) -> None:
    assert isinstance(tickets.parse_ticket(text), result.Err)


def test_a_ticket_over_a_megabyte_is_rejected() -> None:
    text = json.dumps(VALID) + " " * tickets.MAX_TICKET_BYTES
    parsed = tickets.parse_ticket(text)
    assert isinstance(parsed, result.Err)
    assert "1000000 bytes" in parsed.err_value.message
