"""Concurrency limits and the queue in front of a target."""

from jujubetiller.limits._additive_increase_limit_policy import (
    AdditiveIncreaseLimitPolicy,
)
from jujubetiller.limits._admission_queue import AdmissionQueue
from jujubetiller.limits._arrival_queue_order import ArrivalQueueOrder
from jujubetiller.limits._build_guard import build_guard
from jujubetiller.limits._build_policy import build_order, build_policy
from jujubetiller.limits._class_queue_order import ClassQueueOrder
from jujubetiller.limits._fair_admission_queue import FairAdmissionQueue
from jujubetiller.limits._fixed_limit_policy import FixedLimitPolicy
from jujubetiller.limits._gradient_limit_policy import GradientLimitPolicy
from jujubetiller.limits._guard_entry import EntryState, GuardEntry
from jujubetiller.limits._guard_observer import GuardObserver
from jujubetiller.limits._guard_timer import GuardTimer
from jujubetiller.limits._latency_sample import LatencySample
from jujubetiller.limits._learned_limit_policy import LearnedLimitPolicy
from jujubetiller.limits._limit_policy import LimitPolicy
from jujubetiller.limits._priority_queue_order import PriorityQueueOrder
from jujubetiller.limits._queue_order import QueueOrder
from jujubetiller.limits._rank import RANKS_PER_CLASS, compute_rank
from jujubetiller.limits._rate_limit import RateLimit
from jujubetiller.limits._rate_limiter import RateLimiter
from jujubetiller.limits._rate_meter import RateMeter
from jujubetiller.limits._refusal_level import RefusalLevel
from jujubetiller.limits._room_report import RoomReport, read_room
from jujubetiller.limits._run_time_estimates import RunTimeEstimates
from jujubetiller.limits._target_guard import SHED_CODES, TargetGuard

__all__ = [
    "SHED_CODES",
    "RANKS_PER_CLASS",
    "AdditiveIncreaseLimitPolicy",
    "AdmissionQueue",
    "ArrivalQueueOrder",
    "ClassQueueOrder",
    "EntryState",
    "FairAdmissionQueue",
    "FixedLimitPolicy",
    "GradientLimitPolicy",
    "GuardEntry",
    "GuardObserver",
    "GuardTimer",
    "LatencySample",
    "LearnedLimitPolicy",
    "LimitPolicy",
    "PriorityQueueOrder",
    "QueueOrder",
    "RateLimit",
    "RateLimiter",
    "RateMeter",
    "RefusalLevel",
    "RoomReport",
    "RunTimeEstimates",
    "TargetGuard",
    "build_guard",
    "build_order",
    "build_policy",
    "compute_rank",
    "read_room",
]
