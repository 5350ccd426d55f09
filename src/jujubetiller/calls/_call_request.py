"""A call as it is sent from node to node."""

import attrs


@attrs.define
class CallRequest:
    """One attempt of a call.

    The same shape is used on the wire, where the deadline is time left.
    """

    service: str
    method: str

    path: str
    """Path and query after the name of the service, starting with a slash."""

    kind: str
    """Name of the request kind that a ticket describes."""

    priority_class: int
    """0 is the most important class."""

    rank: int
    """priority_class * 128 + sub-rank; a smaller rank is more important."""

    idempotent: bool

    deadline_left_ms: float

    retry_tokens: int = 0
    """Retry tokens lent to the receiver for the tree below this call."""

    tree_id: str = ""
    """Identifies the call tree that a client's request started."""

    depth: int = 0
    """Number of calls above this one in the tree."""

    attempt: int = 1
    """1 for the first send of the call."""

    key: str = ""
    """Execution key; empty for idempotent kinds."""

    headers: tuple[tuple[str, str], ...] = ()
    """Headers that the caller sent for the target."""

    body: bytes = b""

    expected_instance: str = ""
    """The only instance that may run the call; empty if the node may choose."""
