"""Parser of the answers of the platform's configuration service."""

from typing import Any

import attrs
import result

from jujubetiller import codes, http_reads, published, schema

MAX_VALUE_BYTES = 1_000_000

MAX_BODY_BYTES = MAX_VALUE_BYTES + 4_096
"""Limit for a value together with its key and version."""


FRESH_PROBLEMS = frozenset(
    {http_reads.ReadProblem.NOTHING_NEW, http_reads.ReadProblem.MISSING}
)
"""Answers without a value that still reflect the current state of the platform."""


@attrs.frozen
class PlatformValue:
    """The value of a key with its version."""

    key: str
    version: int
    value: Any

    epoch: int = 0
    """Number of the platform's history; it increases when the platform is restored from
    a copy, after which it gives out versions again."""

    @property
    def revision(self) -> published.Revision:
        """The order of this value among all values of its key."""
        return published.Revision(self.epoch, self.version)


def parse_value(
    body: bytes, key: str
) -> result.Result[PlatformValue, http_reads.ReadProblem]:
    """Parse the body of an answer for ``key``."""
    parsed = schema.parse_json(body, codes.ResultCode.BAD_REQUEST)
    document = parsed.ok_value if isinstance(parsed, result.Ok) else None
    if (
        not isinstance(document, dict)
        or document.get("key") != key
        or not _is_number(document.get("version"))
        or not _is_number(document.get("epoch", 0))
        or "value" not in document
    ):
        return result.Err(http_reads.ReadProblem.BAD_ANSWER)
    return result.Ok(
        PlatformValue(
            key, document["version"], document["value"], document.get("epoch", 0)
        )
    )


def _is_number(value: Any) -> bool:
    return type(value) is int and 0 <= value <= published.MAX_NUMBER
