"""The settings of how requests that crash instances are contained."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class CrashSettings:
    """How long requests are suspected or refused, and the bounds of what is kept."""

    suspicion_ms: int = _fields.whole_number(60_000, 1_000, 3_600_000)
    """How long a request that was running at a crash is run apart, if it hasn't ended
    with a response since."""

    first_refusal_ms: int = _fields.whole_number(30_000, 1_000, 3_600_000)
    """How long a request is refused after its second crash."""

    highest_refusal_ms: int = _fields.whole_number(86_400_000, 1_000, 604_800_000)
    """The longest refusal; each failed trial makes it eight times longer."""

    max_reports: int = _fields.whole_number(256, 8, 4_096)
    """Crashes that are kept, the latest ones."""

    max_waiting: int = _fields.whole_number(256, 1, 4_096)
    """Calls that wait at a node to be run apart."""

    exchange_ms: int = _fields.whole_number(1_000, 100, 60_000)
    """Pause between two comparisons of the reports with a peer."""
