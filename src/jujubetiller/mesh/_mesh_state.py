"""The state of the node that its components share."""

import attrs


@attrs.define
class MeshState:
    """Whether the node takes requests, and how many it is handling."""

    draining: bool = False
    refuses_peers: bool = False
    """Whether peers have been notified to send no more calls. Calls that still arrive
    are run only if their deadline is before ``ends_at_ms``."""

    refuses_clients: bool = False
    """Whether clients have had time to detect the stop. Requests that still arrive are
    passed on only if their deadline is before ``ends_at_ms``."""

    ends_at_ms: float | None = None
    """When a draining node stops at the latest; ``None`` before it drains."""

    is_compared: bool = False
    """Whether the node has compared its published state with peers since its start."""

    requests_under_way: int = 0
    """Requests of clients of this node that have no answer yet."""
