"""The SEALED frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Sealed(_frame.Frame):
    """Reports whether the call of the key has never run and can no longer run."""

    TYPE = 11
    NAME = "sealed"
    FIELDS = (
        ("call_id", _rules.CALL_ID),
        ("confirmed", _rules.FLAG),
    )

    call_id: int
    confirmed: bool
