"""Why a read failed."""

import enum


class ReadProblem(enum.Enum):
    """Why a read or a watch brought no value."""

    NOTHING_NEW = "nothing-new"
    MISSING = "missing"
    OVER_RATE = "over-rate"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    CANCELLED = "cancelled"
    BAD_ANSWER = "bad-answer"
