"""Clocks in milliseconds, passed to every object that depends on time."""

from jujubetiller.clock._boot_clock import BootClock
from jujubetiller.clock._clock import Clock
from jujubetiller.clock._manual_clock import ManualClock
from jujubetiller.clock._system_clock import SystemClock
from jujubetiller.clock._turn_clock import TurnClock
from jujubetiller.clock._unix_clock import UnixClock

__all__ = [
    "BootClock",
    "Clock",
    "ManualClock",
    "SystemClock",
    "TurnClock",
    "UnixClock",
]
