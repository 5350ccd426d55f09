"""Containment of requests that crash the instances which run them."""

from jujubetiller.crashes._counters import make_groups
from jujubetiller.crashes._crash_containment import CrashContainment
from jujubetiller.crashes._crash_evidence import CrashEvidence, describe
from jujubetiller.crashes._crash_exchange import NODE_SERVICE, PATH, CrashExchange
from jujubetiller.crashes._crash_message import CrashMessage, Trial, decode_message
from jujubetiller.crashes._crash_peers import CrashPeers
from jujubetiller.crashes._crash_report import CrashReport
from jujubetiller.crashes._fingerprint import compute_request_fingerprint
from jujubetiller.crashes._standing import Standing
from jujubetiller.crashes._suspect_call import SuspectCall, SuspectState
from jujubetiller.crashes._suspect_queue import SuspectQueue
from jujubetiller.crashes._target_watch import LostCall, TargetWatch

__all__ = [
    "NODE_SERVICE",
    "PATH",
    "CrashContainment",
    "CrashExchange",
    "CrashPeers",
    "LostCall",
    "TargetWatch",
    "CrashEvidence",
    "CrashMessage",
    "CrashReport",
    "Standing",
    "SuspectCall",
    "SuspectQueue",
    "SuspectState",
    "Trial",
    "compute_request_fingerprint",
    "decode_message",
    "describe",
    "make_groups",
]
