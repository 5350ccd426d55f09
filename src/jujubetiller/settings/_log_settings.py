"""Settings of the logs."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class LogSettings:
    """What is written to standard error."""

    level: str = _fields.choice("info", "debug", "info", "warning", "error")
    """The lowest level that is written."""

    repeats_per_second: int = _fields.whole_number(5, 1, 100_000)
    """Messages of one kind per second; further ones are counted and suppressed."""

    message_kinds: int = _fields.whole_number(500, 1, 100_000)
    """Kinds of messages that are counted separately; the others share one count."""
