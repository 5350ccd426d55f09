"""The GOAWAY frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Goaway(_frame.Frame):
    """Notifies the peer that this stream carries no new calls."""

    TYPE = 9
    NAME = "goaway"
    CONTROL = True
    FIELDS = (
        ("code", _rules.COUNT),
        ("closing", _rules.FLAG),
        ("message", _rules.KEY),
    )

    code: int
    closing: bool
    """Whether the receiver shall close the stream after its last answer."""

    message: str
