"""Settings that choose between ways to decide."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class FeatureSettings:
    """Which admission, placement and limit a node uses."""

    admission: str = _fields.choice("delay", "delay", "cost", "teams")
    """Admit requests where they enter by the queueing delays that answers report, or by
    what they cost at the services that are full; with "teams", by cost once the
    configuration has teams."""

    placing: str = _fields.choice("latency", "latency", "room")
    """Spread calls by relative latency, or by the room that targets' nodes report."""

    target_limit: str = _fields.choice("fixed", "fixed", "learned")
    """Limit calls at the target to its declared slots, or to a limit
    learned from throughput."""
