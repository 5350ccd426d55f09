"""The three outcomes of a call."""

import enum


class Outcome(enum.Enum):
    """What is known about a call once it ends."""

    ANSWERED = "answered"
    """The whole answer of the target was delivered."""

    NOT_RUN = "not-run"
    """The call certainly did not run and never will."""

    UNKNOWN = "unknown"
    """The call may or may not have run."""
