"""The states of a key at its owner, the events and the results of ``begin``."""

import enum


class KeyState(enum.Enum):
    """The state of a key in the owner's table."""

    UNSEEN = "unseen"
    RUNNING = "running"

    RECORDED = "recorded"
    """It ran, and its answer is stored."""

    DROPPED = "dropped"
    """It ran, and its answer is no longer stored."""

    SEALED = "sealed"
    """It never ran and never will."""


class KeyEvent(enum.Enum):
    """What happens to a key at its owner."""

    BEGIN = "begin"
    FINISH = "finish"
    NOT_RUN = "not-run"
    SEAL = "seal"

    DROP = "drop"
    """The recorded answer is dropped to stay within the memory limit."""


class BeginState(enum.Enum):
    """What a node must do with a call that carries a key."""

    RUN_NOW = "run-now"
    """Run it, then report ``finish`` or ``not_run``."""

    ATTACH = "attach"
    """It is running; ``on_answer`` is called with the same answer."""

    REPLAY = "replay"
    """It ran; the recorded answer is in ``Begin.answer``."""

    SEALED = "sealed"
    """It never ran and never will."""

    RAN_ANSWER_DROPPED = "ran-answer-dropped"
    """It ran; its answer is no longer stored."""

    NOT_MINE = "not-mine"
    """It names another process as its owner, which may have run it."""

    EXPIRED = "expired"
    """Its epoch is outside the range that the owner accepts; it may have run."""

    FULL = "full"
    """A limit was reached. It is not run; a duplicate may run or have run."""

    WRONG_SERVICE = "wrong-service"
    """It names this process, but for a service that it does not run: it never ran."""
