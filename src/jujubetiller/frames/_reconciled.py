"""The RECONCILED frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Reconciled(_frame.Frame):
    """Answers RECONCILE with the last call that was received on the stream."""

    TYPE = 16
    NAME = "reconciled"
    FIELDS = (
        ("call_id", _rules.CALL_ID),
        ("is_known", _rules.FLAG),
        ("last_call_id", _rules.LAST_CALL_ID),
    )

    call_id: int
    is_known: bool
    """Whether the peer remembers the stream."""

    last_call_id: int
    """0 if no call was received. Calls are received in the order of their ids."""
