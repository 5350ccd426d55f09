"""The PONG frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Pong(_frame.Frame):
    """Confirms the PING of the same number."""

    TYPE = 8
    NAME = "pong"
    CONTROL = True
    FIELDS = (("number", _rules.COUNT),)

    number: int
