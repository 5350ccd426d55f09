"""The form of questions and answers about tokens between nodes.

Amounts are whole thousandths of a token, and times whole milliseconds. Both are rounded
down, so that a rounded message never gives more than was meant.
"""

import math
from collections.abc import Iterable
from typing import Any

import msgpack
import result

from jujubetiller import codes, quotas

MAX_ROWS = 1_024
"""Teams in one message."""

MAX_NAME_LENGTH = 256
MAX_AMOUNT = 1_000_000_000
MAX_TIME_MS = 10**15
MAX_NUMBER = 2**64 - 1
"""Versions of configurations have up to 16 hexadecimal digits."""


def encode_question(question: quotas.Question) -> bytes:
    """Return the body of a question; teams beyond ``MAX_ROWS`` are left out."""
    delegation = None
    if question.delegation is not None:
        given = question.delegation
        stamp_ms, life_ms = math.floor(given.stamp_ms), math.floor(given.life_ms)
        delegation = [given.share, stamp_ms, given.stamp_boot, life_ms]
    demands = [
        [demand.team, _encode_amount(demand.needed), _encode_amount(demand.wanted)]
        for demand in question.demands[:MAX_ROWS]
    ]
    fields = [
        question.sender,
        question.boot,
        question.number,
        question.version,
        question.is_from_zone,
        delegation,
        demands,
    ]
    return bytes(msgpack.packb(fields))


def encode_answer(answer: quotas.Answer) -> bytes:
    """Return the body of an answer."""
    grants = [
        [
            grant.team,
            _encode_amount(grant.amount),
            max(0, math.floor(grant.left_ms)),
            math.ceil(grant.wait_ms),
        ]
        for grant in answer.grants
    ]
    stamp_ms = math.floor(answer.stamp_ms)
    fields = [answer.number, answer.boot, stamp_ms, answer.version, grants]
    return bytes(msgpack.packb(fields))


def decode_question(body: bytes) -> result.Result[quotas.Question, codes.Problem]:
    """Return the question in ``body``."""
    try:
        fields = _split_row("question", msgpack.unpackb(body), 7)
        sender, boot, number, version, is_from_zone, delegation, rows = fields
        if type(is_from_zone) is not bool:
            raise TypeError(
                f"is_from_zone: allowed are true and false, got {is_from_zone!r:.80}"
            )
        return result.Ok(
            quotas.Question(
                _check_name("sender", sender),
                _check_number("boot", boot, MAX_NUMBER),
                _check_number("number", number, MAX_NUMBER),
                _check_number("version", version, MAX_NUMBER),
                is_from_zone,
                None if delegation is None else _decode_delegation(delegation),
                tuple(map(_decode_demand, _check_rows("demands", rows, MAX_ROWS))),
            )
        )
    except (ValueError, TypeError) as error:
        return result.Err(_describe(error))


def decode_answer(body: bytes) -> result.Result[quotas.Answer, codes.Problem]:
    """Return the answer in ``body``."""
    try:
        fields = _split_row("answer", msgpack.unpackb(body), 5)
        number, boot, stamp_ms, version, rows = fields
        # Each demand can get two grants: one before other zones have lent tokens.
        return result.Ok(
            quotas.Answer(
                _check_number("number", number, MAX_NUMBER),
                _check_number("boot", boot, MAX_NUMBER),
                float(_check_number("stamp_ms", stamp_ms, MAX_TIME_MS)),
                _check_number("version", version, MAX_NUMBER),
                tuple(map(_decode_grant, _check_rows("grants", rows, 2 * MAX_ROWS))),
            )
        )
    except (ValueError, TypeError) as error:
        return result.Err(_describe(error))


def _decode_delegation(row: Any) -> quotas.Delegation:
    share, stamp_ms, boot, life_ms = _split_row("delegation", row, 4)
    if type(share) is not float or not 0.0 < share <= 1.0:
        raise ValueError(
            f"share: allowed are numbers above 0 and up to 1, got {share!r:.80}"
        )
    return quotas.Delegation(
        share,
        float(_check_number("stamp_ms", stamp_ms, MAX_TIME_MS)),
        _check_number("stamp_boot", boot, MAX_NUMBER),
        float(_check_number("life_ms", life_ms, MAX_TIME_MS)),
    )


def _decode_demand(row: Any) -> quotas.Demand:
    team, needed, wanted = _split_row("demands", row, 3)
    return quotas.Demand(
        _check_name("team", team),
        _decode_amount("needed", needed),
        _decode_amount("wanted", wanted),
    )


def _decode_grant(row: Any) -> quotas.Grant:
    team, amount, left_ms, wait_ms = _split_row("grants", row, 4)
    return quotas.Grant(
        _check_name("team", team),
        _decode_amount("amount", amount),
        float(_check_number("left_ms", left_ms, MAX_TIME_MS)),
        float(_check_number("wait_ms", wait_ms, MAX_TIME_MS)),
    )


def _encode_amount(amount: float) -> int:
    return min(MAX_AMOUNT, quotas.count_wire_units(amount))


def _decode_amount(field: str, value: Any) -> float:
    return quotas.read_wire_units(_check_number(field, value, MAX_AMOUNT))


def _check_number(field: str, value: Any, highest: int) -> int:
    if type(value) is not int or not 0 <= value <= highest:
        raise ValueError(
            f"{field}: allowed are whole numbers from 0 to {highest}, got {value!r:.80}"
        )
    return value


def _check_name(field: str, value: Any) -> str:
    if type(value) is not str or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(
            f"{field}: allowed are texts of 1 to {MAX_NAME_LENGTH} characters, "
            f"got {value!r:.80}"
        )
    return value


def _check_rows(field: str, value: Any, longest: int) -> Iterable[Any]:
    if type(value) is not list or len(value) > longest:
        raise ValueError(
            f"{field}: allowed are lists of up to {longest} rows, got {value!r:.80}"
        )
    return value


def _split_row(field: str, row: Any, size: int) -> list[Any]:
    if type(row) is not list or len(row) != size:
        raise ValueError(f"{field}: allowed are rows of {size} fields, got {row!r:.80}")
    return row


def _describe(error: Exception) -> codes.Problem:
    return codes.Problem(codes.ResultCode.BAD_FRAME, "quota", str(error)[:160])
