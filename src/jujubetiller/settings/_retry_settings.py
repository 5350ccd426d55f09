"""Settings of retries."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class RetrySettings:
    """Bounds and timing of retries and of retry tokens."""

    backoff_base_ms: int = _fields.whole_number(10, 0, 10_000)
    """The first retry waits a random time up to this; the bound doubles each time."""

    backoff_highest_ms: int = _fields.whole_number(250, 0, 60_000)

    max_tokens: int = _fields.whole_number(10, 0, 100)
    """The highest number of retry tokens that a request kind may give."""

    nested_calls: int = _fields.whole_number(64, 1, 10_000)
    """Nested calls that one running call may make."""

    token_lifetime_ms: int = _fields.whole_number(120_000, 1_000, 3_600_000)

    used_tokens: int = _fields.whole_number(20_000, 100, 1_000_000)
    """Used token ids that the node remembers."""
