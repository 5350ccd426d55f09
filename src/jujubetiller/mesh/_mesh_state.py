"""The state of a node as a whole."""

import attrs


@attrs.define
class MeshState:
    """What every part of a node may ask."""

    draining: bool = False
    refuses_peers: bool = False
    """Whether peers have been told to send no more calls."""

    requests_under_way: int = 0
    """Requests that entered at this node and have no answer yet."""
