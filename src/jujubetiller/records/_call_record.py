"""What the entry node recorded about one request."""

import attrs

from jujubetiller.records import _hop_record


@attrs.frozen
class CallRecord:
    """Holds the facts that explain how a request ended."""

    tree_id: str
    """Identifies the call tree that the request started."""

    service: str
    method: str
    path: str
    kind: str
    entry_instance: str

    outcome: str
    """The value of a ``codes.Outcome``."""

    code: int
    """Result code number."""

    took_ms: float
    """Time from the request's arrival to its end at the entry node."""

    wall_time: str
    """Date and time of the entry node at the end of the request.

    For human readers only: no decision compares the clocks of two processes.
    """

    hops: tuple[_hop_record.HopRecord, ...] = ()
    """From the entry node on; the hops of a nested call follow their caller's hop."""

    hops_left_out: int = 0
    """Number of hops that did not fit into the record."""
