"""Answers of the configuration service."""

from typing import Any

import attrs
import result

from jujubetiller import codes, http_reads, schema

MAX_VALUE_BYTES = 1_000_000

MAX_BODY_BYTES = MAX_VALUE_BYTES + 4_096
"""The value with its key and version."""


FRESH_PROBLEMS = frozenset(
    {http_reads.ReadProblem.NOTHING_NEW, http_reads.ReadProblem.MISSING}
)
"""Answers without a value that still show the platform's present state."""


@attrs.frozen
class PlatformValue:
    """The value of a key with its version."""

    key: str
    version: int
    value: Any


def parse_value(
    body: bytes, key: str
) -> result.Result[PlatformValue, http_reads.ReadProblem]:
    """Return the value in the body of an answer for ``key``."""
    parsed = schema.parse_json(body, codes.ResultCode.BAD_REQUEST)
    document = parsed.ok_value if isinstance(parsed, result.Ok) else None
    if (
        not isinstance(document, dict)
        or document.get("key") != key
        or type(document.get("version")) is not int
        or document["version"] < 0
        or "value" not in document
    ):
        return result.Err(http_reads.ReadProblem.BAD_ANSWER)
    return result.Ok(PlatformValue(key, document["version"], document["value"]))
