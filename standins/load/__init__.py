"""An open-loop load driver that checks every answer."""

from standins.load._kind_counters import KindCounters
from standins.load._load_driver import LoadDriver
from standins.load._load_plan import LoadKind, LoadPhase, LoadPlan

__all__ = ["KindCounters", "LoadDriver", "LoadKind", "LoadPhase", "LoadPlan"]
