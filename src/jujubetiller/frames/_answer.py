"""The ANSWER frame."""

from typing import Any, Self

import attrs

from jujubetiller import calls, codes
from jujubetiller.frames import (
    _choice,
    _frame,
    _hop_rows,
    _optional_whole_number,
    _rules,
    _service_numbers,
    _text_pairs,
    _whole_number,
)

_OUTCOMES = (codes.Outcome.ANSWERED, codes.Outcome.NOT_RUN, codes.Outcome.UNKNOWN)
_OUTCOME_NUMBERS = {outcome: number for number, outcome in enumerate(_OUTCOMES)}
_CODES = {code.value: code for code in codes.ResultCode}


@attrs.define
class Answer(_frame.Frame):
    """The answer to a call; DATA frames follow unless it contains the whole body."""

    TYPE = 4
    NAME = "answer"
    FIELDS = (
        ("call_id", _rules.CALL_ID),
        ("outcome", _choice.Choice(range(len(_OUTCOMES)))),
        ("code", _choice.Choice(_CODES)),
        ("status", _whole_number.WholeNumber(0, 999)),
        ("tokens_returned", _rules.COUNT),
        ("pressure", _optional_whole_number.OptionalWholeNumber(-1, 2**31)),
        ("pressure_service", _rules.NAME),
        ("key", _rules.KEY),
        ("queue_delay_ms", _rules.MILLISECONDS),
        ("is_nested", _rules.FLAG),
        ("rate_limit_per_s", _rules.RATE_PER_S),
        ("admitted_share", _rules.SHARE),
        ("room", _optional_whole_number.OptionalWholeNumber(-(2**31), 2**31)),
        ("wait_ms", _rules.MILLISECONDS),
        ("costs", _service_numbers.ServiceNumbers(64)),
        ("loads", _service_numbers.ServiceNumbers(64)),
        ("target_leaving", _rules.FLAG),
        ("headers", _text_pairs.TextPairs(256)),
        ("hops", _hop_rows.HopRows(64)),
        ("body_length", _rules.BODY_LENGTH),
        ("checksum", _rules.CHECKSUM),
        ("body", _rules.PAYLOAD),
    )

    call_id: int
    answer: calls.CallAnswer
    body_length: int

    checksum: int
    """xxh64 of the whole body."""

    body_inside: bool = True
    """Whether this frame contains the whole body."""

    def to_fields(self) -> list[Any]:
        """Return the values of the answer in the order of ``FIELDS``."""
        answer = self.answer
        return [
            self.call_id,
            _OUTCOME_NUMBERS[answer.outcome],
            int(answer.code),
            answer.status,
            answer.tokens_returned,
            answer.pressure,
            answer.pressure_service,
            answer.key,
            answer.queue_delay_ms,
            answer.is_nested,
            answer.rate_limit_per_s,
            answer.admitted_share,
            answer.room,
            answer.wait_ms,
            [item for pair in answer.costs for item in pair],
            [item for pair in answer.loads for item in pair],
            answer.target_leaving,
            [item for pair in answer.headers for item in pair],
            [_hop_rows.flatten_hop(hop) for hop in answer.hops],
            self.body_length,
            self.checksum,
            answer.body if self.body_inside else b"",
        ]

    @classmethod
    def from_fields(cls, values: list[Any]) -> Self:
        """Return the frame built from checked values."""
        (
            call_id,
            outcome,
            code,
            status,
            tokens_returned,
            pressure,
            pressure_service,
            key,
            queue_delay_ms,
            is_nested,
            rate_limit_per_s,
            admitted_share,
            room,
            wait_ms,
            costs,
            loads,
            target_leaving,
            headers,
            hops,
            body_length,
            checksum,
            body,
        ) = values
        answer = calls.CallAnswer(
            outcome=_OUTCOMES[outcome],
            code=_CODES[code],
            status=status,
            headers=tuple(zip(headers[::2], headers[1::2], strict=True)),
            body=body,
            tokens_returned=tokens_returned,
            pressure=pressure,
            pressure_service=pressure_service,
            hops=tuple([_hop_rows.build_hop(row) for row in hops]),
            key=key,
            queue_delay_ms=queue_delay_ms,
            is_nested=is_nested,
            rate_limit_per_s=rate_limit_per_s,
            admitted_share=admitted_share,
            room=room,
            wait_ms=wait_ms,
            costs=tuple(zip(costs[::2], costs[1::2], strict=True)),
            loads=tuple(zip(loads[::2], loads[1::2], strict=True)),
            target_leaving=target_leaving,
        )
        return cls(call_id, answer, body_length, checksum, len(body) == body_length)
