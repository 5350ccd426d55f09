"""Settings of the exchange of tickets and membership between nodes."""

import attrs

from jujubetiller.settings import _address, _fields


@attrs.frozen
class ControlSettings:
    """Seeds, neighbours and timing of the control exchange."""

    seeds: tuple[_address.Address, ...] = ()
    """Peers to contact while no neighbour is known, as with an unreachable platform."""

    digest_ms: int = _fields.whole_number(1_000, 50, 60_000)

    readers_per_zone: int = _fields.whole_number(2, 1, 100)

    reader_takeover_ms: int = _fields.whole_number(2_000, 100, 600_000)
    """Time without a report from the readers until a node reads the platform itself."""

    join_wait_ms: int = _fields.whole_number(3_000, 0, 600_000)
    """How long a starting node waits for a first neighbour before it serves alone."""

    max_instances: int = _fields.whole_number(20_000, 1, 1_000_000)

    max_objects: int = _fields.whole_number(20_000, 1, 1_000_000)

    drain_ms: int = _fields.whole_number(30_000, 0, 3_600_000)
    """How long a planned stop waits for calls in flight."""
