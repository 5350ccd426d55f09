"""The decision of the retry policy and its reason."""

import enum

import attrs


class RetryAction(enum.Enum):
    """Whether a call is sent again."""

    RETRY = "retry"
    STOP = "stop"


class RetryReason(enum.Enum):
    """Why a call is or is not sent again; metrics count each one."""

    NOT_RUN = "not-run"
    """Retry: the attempt certainly did not run."""

    IDEMPOTENT = "idempotent"
    """Retry: the attempt may have run, and its kind may run again."""

    ANSWERED = "answered"
    """Stop: the target answered."""

    MAY_HAVE_RUN = "may-have-run"
    """Stop: the attempt may have run, and its kind must not run again."""

    NOT_RETRYABLE = "not-retryable"
    """Stop: the result code says that another attempt cannot succeed."""

    NO_TIME = "no-time"
    """Stop: the deadline passes before another attempt could be sent."""

    NO_TOKEN = "no-token"
    """Stop: the context holds no retry token."""


@attrs.frozen
class RetryDecision:
    """The decision after one attempt of a call."""

    action: RetryAction
    reason: RetryReason

    delay_ms: float = 0.0
    """Time to wait before the retry."""
