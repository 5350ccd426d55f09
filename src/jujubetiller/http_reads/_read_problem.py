"""Reasons why a read failed."""

import enum


class ReadProblem(enum.Enum):
    """Why a read or a watch returned no value."""

    NOTHING_NEW = "nothing-new"
    MISSING = "missing"
    OVER_RATE = "over-rate"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    """No complete response was received within the timeout."""

    CANCELLED = "cancelled"
    BAD_ANSWER = "bad-answer"
