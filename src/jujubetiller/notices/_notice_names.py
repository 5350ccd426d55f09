"""Names of the headers in which a target describes its own state."""

import attrs


@attrs.frozen
class NoticeNames:
    """Header names in lower case."""

    rate_limit: str
    """Requests a second that the target takes from all nodes together."""

    leaving: str
    """Set to ``1`` by a target that is about to stop."""
