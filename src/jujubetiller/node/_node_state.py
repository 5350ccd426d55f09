"""The state of the node process."""

import attrs


@attrs.define
class NodeState:
    """Boot id of the node, whether it is ready or draining, and its calls."""

    boot_id: str
    ready: bool = False
    draining: bool = False

    calls_under_way: int = 0
    """Number of unfinished client requests and nested calls of this node."""
