"""The RECONCILE frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Reconcile(_frame.Frame):
    """Asks which calls of a lost stream the peer has received.

    The peer receives no more of them from then on.
    """

    TYPE = 15
    NAME = "reconcile"
    FIELDS = (
        ("call_id", _rules.CALL_ID),
        ("stream_id", _rules.NAME),
    )

    call_id: int
    """Identifies the question; it is no call of the lost stream."""

    stream_id: str
    """What the sender named the lost stream in HELLO."""
