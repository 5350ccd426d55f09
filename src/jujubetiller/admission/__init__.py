"""Admission of requests by what they cost where the call graph is narrowest."""

from jujubetiller.admission._allocate import Offer, allocate
from jujubetiller.admission._build_node_admission import build_node_admission
from jujubetiller.admission._cost_estimator import CostEstimator
from jujubetiller.admission._cost_table import CostTable
from jujubetiller.admission._counters import make_groups
from jujubetiller.admission._entry_admission import Decision, EntryAdmission
from jujubetiller.admission._load_reports import LoadReports
from jujubetiller.admission._node_admission import NodeAdmission
from jujubetiller.admission._target_load import TargetLoad

__all__ = [
    "CostEstimator",
    "CostTable",
    "Decision",
    "EntryAdmission",
    "LoadReports",
    "NodeAdmission",
    "Offer",
    "TargetLoad",
    "allocate",
    "build_node_admission",
    "make_groups",
]
