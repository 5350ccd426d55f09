"""What targets state about their own condition in the headers of responses."""

from jujubetiller.notices._counters import make_groups, read_guard
from jujubetiller.notices._notice_names import NoticeNames
from jujubetiller.notices._notice_recorder import NoticeRecorder
from jujubetiller.notices._target_notices import (
    NO_NOTICES,
    TargetNotices,
    read_notices,
)

__all__ = [
    "NO_NOTICES",
    "NoticeNames",
    "NoticeRecorder",
    "TargetNotices",
    "make_groups",
    "read_guard",
    "read_notices",
]
