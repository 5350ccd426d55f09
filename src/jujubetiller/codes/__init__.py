"""Numbered result codes and the outcomes that they stand for."""

from jujubetiller.codes._code_entry import CodeEntry
from jujubetiller.codes._code_table import CODE_TABLE, describe, render_markdown
from jujubetiller.codes._outcome import Outcome
from jujubetiller.codes._problem import Problem
from jujubetiller.codes._result_code import ResultCode

__all__ = [
    "CODE_TABLE",
    "CodeEntry",
    "Outcome",
    "Problem",
    "ResultCode",
    "describe",
    "render_markdown",
]
