"""Guards against a malformed message of one peer that spoils what others have told."""

from typing import Any

import msgpack
import pytest

from jujubetiller import codes, crashes

REPORT: list[Any] = ["a.1", 5.0, [1, 2], None, [2]]
WRONG_NUMBERS: list[Any] = [-1, 2**64 - 1 + 0.5, "1", True, float("nan")]
MESSAGES: list[Any] = [
    1,
    [],
    [0, []],
    *([bad, [], []] for bad in WRONG_NUMBERS),
    [0, 1, []],
    [0, [], {}],
    [0, [], [[1, 1.0]] * 257],
    *([0, [], [[bad, 1.0]]] for bad in (*WRONG_NUMBERS, None)),
    *([0, [], [[1, bad]]] for bad in (-1, "1", None, float("inf"), float("nan"))),
    [0, [REPORT[:-1]], []],
    [0, [["", *REPORT[1:]]], []],
    [0, [["x" * 301, *REPORT[1:]]], []],
    [0, [["a", -1.0, [1], None, []]], []],
    [0, [["a", 1.0, 1, None, []]], []],
    [0, [["a", 1.0, [1.5], None, []]], []],
    [0, [["a", 1.0, [1], "x", []]], []],
    [0, [["a", 1.0, [1], None, [None]]], []],
]


@pytest.mark.parametrize("document", MESSAGES)
def test_a_malformed_message_is_a_problem(document: Any) -> None:
    decoded = crashes.decode_message(bytes(msgpack.packb(document)), 0.0)
    assert decoded.unwrap_err().code is codes.ResultCode.BAD_FRAME


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x91" * 100_000])
def test_bytes_that_are_no_message_are_a_problem(body: bytes) -> None:
    assert crashes.decode_message(body, 0.0).is_err()


def test_a_message_arrives_with_times_of_the_receiver() -> None:
    sent = crashes.CrashMessage(
        digest=2**64 - 1,
        reports=(crashes.CrashReport("a.1", 100.0, (1, 2), 1, frozenset((2,))),),
        trials=(crashes.Trial(1, 50.0),),
    )
    received = crashes.decode_message(sent.encode(130.0), 7.0).unwrap()
    assert received.digest == sent.digest
    assert received.trials == sent.trials
    assert received.reports == (
        crashes.CrashReport("a.1", -23.0, (1, 2), 1, frozenset((2,))),
    )
