"""Settings of the store that publishes configuration and instances."""

import attrs

from jujubetiller.settings import _address, _fields


@attrs.frozen
class StoreSettings:
    """Where the store is and how it is watched."""

    address: _address.Address

    watch_wait_ms: int = _fields.whole_number(4_500, 100, 30_000)
    """The longest wait of one watch. A connection that no longer answers is detected
    only after it; until then, the primary reader of the zone sends the changes."""

    primary_wait_ms: int = _fields.whole_number(1_800, 100, 30_000)
    """The longest time from one read of the primary reader of a zone to the end of its
    next watch. It bounds how long all readers can miss changes if their connections
    no longer answer."""

    proof_interval_ms: int | None = _fields.optional_whole_number(100, 30_000)
    """The longest time between two proofs of the primary reader of a zone that the node
    knows the state of the store. None if nothing depends on the age of that knowledge.
    """

    watch_answer_ms: int = _fields.whole_number(500, 50, 60_000)
    """Time beyond the wait of a watch after which its connection counts as silent, and
    the store is read over a new one."""

    answer_timeout_ms: int = _fields.whole_number(1_500, 50, 60_000)
    """Time after which the answer to a read that does not wait counts as lost."""

    longest_pause_ms: int = _fields.whole_number(1_000, 50, 60_000)
    """The longest pause between reads that fail. Changes must be in force soon after
    the store is reachable again, also at a node whose peers are cut off."""

    max_value_bytes: int = _fields.whole_number(1_048_576, 1_024, 67_108_864)
