"""Guards against a malformed message of one peer that ends a stream and its calls."""

import math
import zlib
from collections.abc import Callable
from typing import Any

import msgpack
import pytest

from jujubetiller import codes, published, settings
from jujubetiller.mesh import _state_message
from standins.mesh_site import documents

ADDRESS = settings.Address("127.0.0.1", 7620)
REVISION = [2, 1]
BAD_REVISIONS: list[Any] = [
    1,
    None,
    True,
    "1",
    [],
    [1],
    [1, 2, 3],
    *(
        revision
        for bad in (float("inf"), float("nan"), 2**63, -1, True, "1", None)
        for revision in ([2, bad], [bad, 2])
    ),
]


def request(**wrong: Any) -> list[Any]:
    """Return the fields of a valid request, but for those in ``wrong``."""
    fields = {
        "revision": REVISION,
        "host": "127.0.0.1",
        "port": 1,
        "digest": 0,
        "asks_reader": False,
        "is_exact": True,
    }
    return list({**fields, **wrong}.values())


def answer(**wrong: Any) -> list[Any]:
    """Return the fields of a valid answer, but for those in ``wrong``."""
    fields = {
        "revision": REVISION,
        "is_listing": True,
        "base": None,
        "settled": REVISION,
        "released": 0,
        "is_reader": True,
        "items": [ITEM],
        "retained": [[ITEM, True]],
        "age_ms": 2.5,
    }
    return list({**fields, **wrong}.values())


ITEM = ["k", REVISION, b"v"]
TOO_LONG = zlib.compress(bytes(_state_message.MAX_VALUE_BYTES + 1))
BAD_ITEMS: list[Any] = [
    1,
    ["k", REVISION],
    [1, REVISION, b""],
    ["k", REVISION, "text"],
    ["k", REVISION, msgpack.ExtType(2, b"v")],
    ["k", REVISION, msgpack.ExtType(_state_message.COMPRESSED, b"v")],
    ["k", REVISION, msgpack.ExtType(_state_message.COMPRESSED, b"")],
    ["k", REVISION, msgpack.ExtType(_state_message.COMPRESSED, TOO_LONG)],
    *(["k", bad, b""] for bad in BAD_REVISIONS),
]
REQUESTS: list[Any] = [
    1,
    [],
    {},
    request()[:-1],
    *(request(revision=bad) for bad in BAD_REVISIONS),
    request(host=5),
    request(host="a host"),
    request(port=1.5),
    request(port=10**6),
    *(request(digest=bad) for bad in (None, True, "1", 1.5)),
    request(asks_reader=1),
    request(is_exact=None),
]
ANSWERS: list[Any] = [
    1,
    answer()[:-1],
    *(answer(revision=bad) for bad in BAD_REVISIONS),
    answer(is_listing=1),
    *(answer(base=bad) for bad in BAD_REVISIONS if bad is not None),
    *(answer(settled=bad) for bad in BAD_REVISIONS),
    *(answer(released=bad) for bad in (None, True, -1, 2**60)),
    answer(is_reader="yes"),
    answer(items=5),
    answer(items={"a": 1}),
    *(answer(items=[bad]) for bad in BAD_ITEMS),
    answer(retained=5),
    answer(retained=[ITEM]),
    answer(retained=[[ITEM, 1]]),
    *(answer(retained=[[bad, True]]) for bad in BAD_ITEMS),
    *(
        answer(age_ms=bad)
        for bad in (-0.5, 3, "1", True, math.inf, -math.inf, math.nan)
    ),
]
CASES = [
    *((_state_message.decode_request, document) for document in REQUESTS),
    *((_state_message.decode_answer, document) for document in ANSWERS),
]


@pytest.mark.parametrize(("decode", "document"), CASES)
def test_a_malformed_message_is_a_problem(
    decode: Callable[[bytes], Any], document: Any
) -> None:
    problem = decode(bytes(msgpack.packb(document))).unwrap_err()
    assert problem.code is codes.ResultCode.BAD_FRAME
    assert len(problem.message) < 200


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x91" * 100_000, b"\xdc\xff\xff"])
def test_bytes_that_are_no_message_are_a_problem(body: bytes) -> None:
    for decode in (_state_message.decode_request, _state_message.decode_answer):
        assert decode(body).is_err()


def test_the_fields_of_the_cases_are_valid_but_for_the_wrong_one() -> None:
    for decode, fields in (
        (_state_message.decode_request, request()),
        (_state_message.decode_answer, answer()),
    ):
        assert decode(bytes(msgpack.packb(fields))).is_ok()


def test_valid_messages_arrive_unchanged() -> None:
    sent = _state_message.StateRequest(published.Revision(2, 7), ADDRESS, 2**64 - 1)
    assert _state_message.decode_request(sent.encode()).unwrap() == sent
    items = (
        published.PublishedItem("k", published.Revision(1, 6), b"v"),
        published.PublishedItem("gone", published.Revision(2, 7), None),
    )
    sent_answer = _state_message.StateAnswer(
        published.Changes(
            published.Revision(2, 7), items, False, published.Revision(2, 5)
        ),
        published.Revision(2, 6),
        2,
        True,
        (published.RetainedItem(items[0], True),),
        812.5,
    )
    decoded = _state_message.decode_answer(sent_answer.encode()).unwrap()
    assert decoded == sent_answer


def test_a_large_configuration_does_not_fill_narrow_links_with_its_copies() -> None:
    rules = [
        {**documents.CONFIGURATION["listeners"][0]["rules"][1], "name": f"r-{number}"}
        for number in range(2_000)
    ]
    listeners = [{"host": "a.example", "rules": rules}]
    value = documents.encode(documents.CONFIGURATION, listeners=listeners)
    item = published.PublishedItem("op/config", published.Revision(1, 6), value)
    sent = _state_message.StateAnswer(
        published.Changes(item.revision, (item,), True), item.revision
    )
    body = sent.encode()
    assert len(body) < len(value) / 8
    assert _state_message.decode_answer(body).unwrap() == sent
