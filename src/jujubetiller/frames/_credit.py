"""The CREDIT frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Credit(_frame.Frame):
    """Permits the receiver to send more body bytes of one call."""

    TYPE = 6
    NAME = "credit"
    FIELDS = (
        ("call_id", _rules.CALL_ID),
        ("amount_bytes", _rules.COUNT),
    )

    call_id: int
    amount_bytes: int
