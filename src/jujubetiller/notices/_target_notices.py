"""What a target states about itself in the headers of a response."""

import math
import re

import attrs

from jujubetiller import codes
from jujubetiller.notices import _notice_names

MIN_RATE_LIMIT_PER_S = 0.25
"""A lower limit is raised to this value: without a request now and then, no response
could tell that the limit has ended."""

MAX_RATE_LIMIT_PER_S = 1_000_000.0

LEAVING_VALUE = "1"

_DECIMAL_NUMBER = re.compile(r"\d{1,30}(\.\d{1,30})?|\.\d{1,30}", re.ASCII)


@attrs.frozen
class TargetNotices:
    """The notices of one response.

    A value that is not allowed counts as missing and is listed in ``problems``.
    """

    rate_limit_per_s: float | None = None
    """Requests a second that the target takes; None if the response has no limit."""

    is_leaving: bool = False
    """Whether the target is about to stop."""

    problems: tuple[codes.Problem, ...] = ()


NO_NOTICES = TargetNotices()


def read_notices(
    headers: tuple[tuple[str, str], ...], names: _notice_names.NoticeNames
) -> TargetNotices:
    """Return the notices in the headers of a response.

    >>> names = _notice_names.NoticeNames("limit", "leaving")
    >>> read_notices((("Limit", "42.5"),), names).rate_limit_per_s
    42.5
    >>> read_notices((("Limit", "-1"),), names).problems[0].field
    'limit'
    """
    limits: list[str] = []
    leaving: list[str] = []
    for name, value in headers:
        lower = name.lower()
        if lower == names.rate_limit:
            limits.append(value.strip())
        elif lower == names.leaving:
            leaving.append(value.strip())
    if not limits and not leaving:
        return NO_NOTICES
    problems: list[codes.Problem] = []
    return TargetNotices(
        rate_limit_per_s=_read_limit(limits, names.rate_limit, problems),
        is_leaving=_read_leaving(leaving, names.leaving, problems),
        problems=tuple(problems),
    )


def _read_limit(
    values: list[str], name: str, problems: list[codes.Problem]
) -> float | None:
    if not values:
        return None
    if len(set(values)) > 1 or not _DECIMAL_NUMBER.fullmatch(values[0]):
        problems.append(_describe(name, "one decimal number from 0", values))
        return None
    number = float(values[0])
    bounded = min(max(number, MIN_RATE_LIMIT_PER_S), MAX_RATE_LIMIT_PER_S)
    if not math.isclose(number, bounded):
        allowed = f"{MIN_RATE_LIMIT_PER_S} to {MAX_RATE_LIMIT_PER_S:.0f}"
        problems.append(_describe(name, f"{allowed}; {bounded} is used", values))
    return bounded


def _read_leaving(values: list[str], name: str, problems: list[codes.Problem]) -> bool:
    if not values:
        return False
    if set(values) != {LEAVING_VALUE}:
        problems.append(_describe(name, LEAVING_VALUE, values))
        return False
    return True


def _describe(name: str, allowed: str, values: list[str]) -> codes.Problem:
    got = ", ".join(values)[:80]
    return codes.Problem(
        codes.ResultCode.BAD_NOTICE, name, f"allowed is {allowed}, got {got!r}"
    )
