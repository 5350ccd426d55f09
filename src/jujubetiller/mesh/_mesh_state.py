"""The state of the node that its components share."""

import attrs


@attrs.define
class MeshState:
    """Whether the node is draining, and how many requests it is handling."""

    draining: bool = False
    refuses_peers: bool = False
    """Whether peers have been notified to send no more calls."""

    requests_under_way: int = 0
    """Requests of clients of this node that have no answer yet."""
