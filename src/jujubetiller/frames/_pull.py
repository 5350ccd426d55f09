"""The PULL frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Pull(_frame.Frame):
    """Requests data that the sender lacks; the topic determines the payload format."""

    TYPE = 13
    NAME = "pull"
    CONTROL = True
    FIELDS = (
        ("topic", _rules.NAME),
        ("payload", _rules.PAYLOAD),
    )

    topic: str
    payload: bytes
