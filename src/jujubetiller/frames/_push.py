"""The PUSH frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Push(_frame.Frame):
    """Sends data to the peer; the topic determines the payload format."""

    TYPE = 14
    NAME = "push"
    CONTROL = True
    FIELDS = (
        ("topic", _rules.NAME),
        ("payload", _rules.PAYLOAD),
    )

    topic: str
    payload: bytes
