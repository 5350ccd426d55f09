"""Settings of the target beside the node."""

import attrs

from jujubetiller.settings import _address, _fields


@attrs.frozen
class TargetSettings:
    """The address of the node's own target and the limits of its connections."""

    address: _address.Address

    idle_connections: int = _fields.whole_number(64, 1, 10_000)
    """Idle connections kept open for the next call."""

    connect_timeout_ms: int = _fields.whole_number(1_000, 10, 60_000)

    max_answer_bytes: int = _fields.whole_number(8_388_608, 1_024, 1_073_741_824)

    max_held_bytes: int = _fields.whole_number(67_108_864, 1_024, 1_073_741_824)
    """Memory that all responses in progress may occupy."""
