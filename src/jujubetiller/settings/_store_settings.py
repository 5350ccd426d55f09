"""Settings of the store that publishes configuration and instances."""

import attrs

from jujubetiller.settings import _address, _fields


@attrs.frozen
class StoreSettings:
    """Where the store is and how it is watched."""

    address: _address.Address

    watch_wait_ms: int = _fields.whole_number(4_500, 100, 30_000)
    """The longest wait of one watch. A connection that no longer answers is detected
    only after it; until then, other readers send the changes."""

    answer_timeout_ms: int = _fields.whole_number(1_500, 50, 60_000)
    """Time beyond the wait of a watch after which its answer counts as lost."""

    longest_pause_ms: int = _fields.whole_number(1_000, 50, 60_000)
    """The longest pause between reads that fail. Changes must be in force soon after
    the store is reachable again, also at a node whose peers are cut off."""

    max_value_bytes: int = _fields.whole_number(1_048_576, 1_024, 67_108_864)
