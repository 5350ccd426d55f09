"""The DATA frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Data(_frame.Frame):
    """Carries the next part of the body of a request or an answer."""

    TYPE = 3
    NAME = "data"
    FIELDS = (
        ("call_id", _rules.CALL_ID),
        ("payload", _rules.PAYLOAD),
    )

    call_id: int
    payload: bytes
