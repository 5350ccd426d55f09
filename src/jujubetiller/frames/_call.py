"""The CALL frame."""

import operator
from typing import Any, Self

import attrs

from jujubetiller import calls
from jujubetiller.frames import _frame, _rules, _text, _text_pairs, _whole_number

_REQUEST_FIELDS = (
    ("service", _rules.NAME),
    ("method", _text.Text(32)),
    ("path", _text.Text(32_768)),
    ("kind", _rules.NAME),
    ("priority_class", _whole_number.WholeNumber(0, 2**24)),
    ("rank", _whole_number.WholeNumber(0, 2**31)),
    ("idempotent", _rules.FLAG),
    ("deadline_left_ms", _rules.MILLISECONDS),
    ("retry_tokens", _rules.COUNT),
    ("tree_id", _rules.NAME),
    ("depth", _rules.COUNT),
    ("attempt", _whole_number.WholeNumber(1, 2**31)),
    ("key", _rules.KEY),
    ("expected_instance", _rules.NAME),
    ("team", _rules.NAME),
    ("start_within_ms", _rules.OPTIONAL_MILLISECONDS),
    ("rate_limit_per_s", _rules.RATE_PER_S),
)
_REQUEST_NAMES = tuple(name for name, _ in _REQUEST_FIELDS)
_REQUEST_COUNT = len(_REQUEST_NAMES)
_POSITIONAL_COUNT = _REQUEST_NAMES.index("key") + 1
_flatten_request: Any = operator.attrgetter(*_REQUEST_NAMES)
# The fields up to the key are in the order of the attributes of CallRequest.
_make_request: Any = calls.CallRequest


@attrs.define
class Call(_frame.Frame):
    """A call with its request; DATA frames follow unless it contains the whole body."""

    TYPE = 2
    NAME = "call"
    FIELDS = (
        ("call_id", _rules.CALL_ID),
        *_REQUEST_FIELDS,
        ("headers", _text_pairs.TextPairs(256)),
        ("body_length", _rules.BODY_LENGTH),
        ("checksum", _rules.CHECKSUM),
        ("body", _rules.PAYLOAD),
    )

    call_id: int
    request: calls.CallRequest
    body_length: int

    checksum: int
    """xxh64 of the whole body."""

    body_inside: bool = True
    """Whether this frame contains the whole body."""

    def to_fields(self) -> list[Any]:
        """Return the values of the call in the order of ``FIELDS``."""
        request = self.request
        return [
            self.call_id,
            *_flatten_request(request),
            [item for pair in request.headers for item in pair],
            self.body_length,
            self.checksum,
            request.body if self.body_inside else b"",
        ]

    @classmethod
    def from_fields(cls, values: list[Any]) -> Self:
        """Return the frame built from checked values."""
        headers, body_length, checksum, body = values[_REQUEST_COUNT + 1 :]
        expected_instance, team, start_within_ms, rate_limit_per_s = values[
            _POSITIONAL_COUNT + 1 : _REQUEST_COUNT + 1
        ]
        request = _make_request(
            *values[1 : _POSITIONAL_COUNT + 1],
            headers=tuple(zip(headers[::2], headers[1::2], strict=True)),
            body=body,
            expected_instance=expected_instance,
            team=team,
            start_within_ms=start_within_ms,
            rate_limit_per_s=rate_limit_per_s,
        )
        return cls(values[0], request, body_length, checksum, len(body) == body_length)
