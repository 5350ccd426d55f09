"""Membership of the fleet: instance records, neighbours and platform readers."""

from jujubetiller.membership._choose_neighbours import choose_neighbours
from jujubetiller.membership._instance_record import InstanceRecord
from jujubetiller.membership._membership_table import (
    ABSENT_EXPIRY_MS,
    DROPPED_RETENTION_MS,
    REFRESH_MS,
    MembershipTable,
)
from jujubetiller.membership._merge_records import merge_records
from jujubetiller.membership._own_incarnation import OwnIncarnation
from jujubetiller.membership._platform_freshness import PlatformFreshness
from jujubetiller.membership._reader_election import (
    ReaderElection,
)

__all__ = [
    "ABSENT_EXPIRY_MS",
    "DROPPED_RETENTION_MS",
    "InstanceRecord",
    "MembershipTable",
    "OwnIncarnation",
    "PlatformFreshness",
    "REFRESH_MS",
    "ReaderElection",
    "choose_neighbours",
    "merge_records",
]
