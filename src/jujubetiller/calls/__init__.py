"""Data types of calls between nodes."""

from jujubetiller.calls._call_answer import (
    FINAL_STATUSES,
    LOWEST_FAILURE_STATUS,
    CallAnswer,
)
from jujubetiller.calls._call_request import CallRequest
from jujubetiller.calls._deadline import Deadline
from jujubetiller.calls._refusal import make_refusal
from jujubetiller.calls._start_or_refuse import StartOrRefuse

__all__ = [
    "LOWEST_FAILURE_STATUS",
    "CallAnswer",
    "CallRequest",
    "Deadline",
    "FINAL_STATUSES",
    "StartOrRefuse",
    "make_refusal",
]
