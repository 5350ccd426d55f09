"""A call as it is sent from node to node."""

import attrs


@attrs.define
class CallRequest:
    """One attempt of a call.

    Frames carry the same fields. The deadline is the time left, because the
    clocks of two processes cannot be compared.
    """

    service: str
    method: str

    path: str
    """Path and query after the name of the service, starting with a slash."""

    kind: str
    """Name of the request kind, which a ticket defines."""

    priority_class: int
    """0 is the most important class."""

    rank: int
    """priority_class * 128 + sub-rank; a smaller rank is more important."""

    idempotent: bool

    deadline_left_ms: float

    retry_tokens: int = 0
    """Retry tokens lent to the receiver for the calls below this one in the tree."""

    tree_id: str = ""
    """Identifies the call tree that a client's request started."""

    depth: int = 0
    """Number of ancestors of this call in the call tree."""

    attempt: int = 1
    """Number of the attempt, starting at 1."""

    key: str = ""
    """Execution key; empty for idempotent kinds."""

    headers: tuple[tuple[str, str], ...] = ()
    """Headers from the caller to pass on to the target."""

    body: bytes = b""

    expected_instance: str = ""
    """The only instance that may run the call; empty if the node may choose."""

    team: str = ""
    """Name of the team that sent the request; empty for none."""

    start_within_ms: float | None = None
    """Time within which the call must start, as what its entry node knows of the API
    key is too old afterwards. None if it may start at any time."""

    rate_limit_per_s: float | None = None
    """The limit of the expected instance that the sender last received, which a node
    that has just started beside it does not know; None if it received none."""
