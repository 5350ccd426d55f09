"""The CANCEL frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Cancel(_frame.Frame):
    """Notifies the server that the caller no longer waits for the answer."""

    TYPE = 5
    NAME = "cancel"
    FIELDS = (("call_id", _rules.CALL_ID),)

    call_id: int
