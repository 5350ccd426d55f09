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

_THOUSAND = 1_000.0


def encode_question(question: quotas.Question) -> bytes:
    """Return the body of a question; teams beyond ``MAX_ROWS`` are left out."""
    delegation = None
    if question.delegation is not None:
        given = question.delegation
        stamp_ms, life_ms = math.floor(given.stamp_ms), math.floor(given.life_ms)
        delegation = [given.share, stamp_ms, given.stamp_boot, life_ms]
    demands = [
        [demand.team, _thousandths(demand.needed), _thousandths(demand.wanted)]
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
            _thousandths(grant.amount),
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
        sender, boot, number, version, is_from_zone, delegation, rows = msgpack.unpackb(
            body
        )
        if type(is_from_zone) is not bool:
            raise TypeError("allowed is bool")
        return result.Ok(
            quotas.Question(
                _check_name(sender),
                _check_number(boot, MAX_NUMBER),
                _check_number(number, MAX_NUMBER),
                _check_number(version, MAX_NUMBER),
                is_from_zone,
                None if delegation is None else _decode_delegation(delegation),
                tuple(_decode_demand(row) for row in _check_rows(rows, MAX_ROWS)),
            )
        )
    except (ValueError, TypeError) as error:
        return result.Err(_describe(error))


def decode_answer(body: bytes) -> result.Result[quotas.Answer, codes.Problem]:
    """Return the answer in ``body``."""
    try:
        number, boot, stamp_ms, version, rows = msgpack.unpackb(body)
        # Each demand can get two grants: one before other zones have lent tokens.
        return result.Ok(
            quotas.Answer(
                _check_number(number, MAX_NUMBER),
                _check_number(boot, MAX_NUMBER),
                float(_check_number(stamp_ms, MAX_TIME_MS)),
                _check_number(version, MAX_NUMBER),
                tuple(_decode_grant(row) for row in _check_rows(rows, 2 * MAX_ROWS)),
            )
        )
    except (ValueError, TypeError) as error:
        return result.Err(_describe(error))


def _decode_delegation(row: Any) -> quotas.Delegation:
    share, stamp_ms, boot, life_ms = row
    if type(share) is not float or not 0.0 < share <= 1.0:
        raise ValueError(f"allowed are shares from 0 to 1, got {share!r:.80}")
    return quotas.Delegation(
        share,
        float(_check_number(stamp_ms, MAX_TIME_MS)),
        _check_number(boot, MAX_NUMBER),
        float(_check_number(life_ms, MAX_TIME_MS)),
    )


def _decode_demand(row: Any) -> quotas.Demand:
    team, needed, wanted = row
    return quotas.Demand(
        _check_name(team),
        _check_number(needed, MAX_AMOUNT) / _THOUSAND,
        _check_number(wanted, MAX_AMOUNT) / _THOUSAND,
    )


def _decode_grant(row: Any) -> quotas.Grant:
    team, amount, left_ms, wait_ms = row
    return quotas.Grant(
        _check_name(team),
        _check_number(amount, MAX_AMOUNT) / _THOUSAND,
        float(_check_number(left_ms, MAX_TIME_MS)),
        float(_check_number(wait_ms, MAX_TIME_MS)),
    )


def _thousandths(amount: float) -> int:
    return min(MAX_AMOUNT, math.floor(amount * _THOUSAND + 1e-6))


def _check_number(value: Any, highest: int) -> int:
    if type(value) is not int or not 0 <= value <= highest:
        raise ValueError(f"allowed are numbers up to {highest}, got {value!r:.80}")
    return value


def _check_name(value: Any) -> str:
    if type(value) is not str or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"allowed are names of up to {MAX_NAME_LENGTH} characters")
    return value


def _check_rows(value: Any, longest: int) -> Iterable[Any]:
    if type(value) is not list or len(value) > longest:
        raise ValueError(f"allowed are lists of up to {longest} rows")
    return value


def _describe(error: Exception) -> codes.Problem:
    return codes.Problem(codes.ResultCode.BAD_FRAME, "quota", str(error)[:160])
