"""Settings of the platform's configuration service."""

import attrs

from jujubetiller.settings import _address, _fields


@attrs.frozen
class PlatformSettings:
    """The address of the configuration service and the timing of watches."""

    address: _address.Address

    watch_wait_ms: int = _fields.whole_number(1_500, 100, 60_000)
    """How long the service may hold a watch open while nothing changes."""

    watch_silent_ms: int = _fields.whole_number(2_500, 200, 120_000)
    """The connection of a watch is replaced after this long without an answer."""
