"""Refusal at the entry node of calls that a downstream service would refuse.

A pressure level is a rank; calls with a higher rank are refused.
"""

from jujubetiller.pressure._combine import combine
from jujubetiller.pressure._entry_admission import EntryAdmission
from jujubetiller.pressure._pressure_entry import PressureEntry
from jujubetiller.pressure._pressure_table import PressureTable

__all__ = ["EntryAdmission", "PressureTable", "PressureEntry", "combine"]
