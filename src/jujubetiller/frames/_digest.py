"""The DIGEST frame."""

import attrs

from jujubetiller.frames import _frame, _rules


@attrs.define
class Digest(_frame.Frame):
    """Summarises the state of the sender, so that the receiver finds differences."""

    TYPE = 12
    NAME = "digest"
    CONTROL = True
    FIELDS = (
        ("ticket_digest", _rules.DIGEST),
        ("membership_digest", _rules.DIGEST),
        ("platform_age_ms", _rules.AGE_MS),
        ("ticket_number", _rules.COUNT),
    )

    ticket_digest: bytes
    membership_digest: bytes
    platform_age_ms: float
    """Age of the newest data from the platform; negative if there is none."""

    ticket_number: int
    """The highest ticket number in force at the sender."""
