"""The SEAL frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Seal(_frame.Frame):
    """Asks the owner of an execution key to seal it."""

    TYPE = 10
    NAME = "seal"
    FIELDS = (
        ("call_id", _rules.CALL_ID),
        ("key", _rules.KEY),
    )

    call_id: int
    key: str
