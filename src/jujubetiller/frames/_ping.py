"""The PING frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Ping(_frame.Frame):
    """Asks the peer for a PONG, to check that the stream works."""

    TYPE = 7
    NAME = "ping"
    CONTROL = True
    FIELDS = (("number", _rules.COUNT),)

    number: int
