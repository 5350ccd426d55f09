"""The state that all streams of a pool share."""

import itertools
from collections.abc import Callable, Iterator

import attrs

from jujubetiller import clock, frames, settings
from jujubetiller.streams import (
    _checks,
    _deadline_wheel,
    _memory_budget,
    _peer_identity,
    _stream_handler,
    _stream_statistics,
    _wheel_item,
)


@attrs.define
class StreamContext:
    """Holds the parts of a pool that its streams and calls use."""

    settings: settings.StreamSettings
    clock: clock.Clock
    identity: Callable[[], _peer_identity.PeerIdentity]
    handler: _stream_handler.StreamHandler
    encoder: frames.FrameEncoder
    wheel: _deadline_wheel.DeadlineWheel[_wheel_item.WheelItem]
    partial_bodies: _memory_budget.MemoryBudget
    statistics: _stream_statistics.StreamStatistics
    checks: _checks.StreamChecks

    call_soon: Callable[..., object]
    """Calls a function with its arguments in a later reactor turn."""

    stream_numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    """Numbers of the streams, which are not used twice in a process."""
