"""Quotas of teams that hold over all nodes, without agreement between them."""

from jujubetiller.quotas._coordinator import Coordinator
from jujubetiller.quotas._delegations import Delegations
from jujubetiller.quotas._fleet_share import FleetShare, ShareLease
from jujubetiller.quotas._messages import (
    Answer,
    Delegation,
    Demand,
    Grant,
    Question,
    Sender,
)
from jujubetiller.quotas._node_quota import NodeQuota
from jujubetiller.quotas._precision import count_wire_units, read_wire_units
from jujubetiller.quotas._quota_counters import QuotaCounters
from jujubetiller.quotas._quota_rounds import QuotaRounds
from jujubetiller.quotas._share_holder import ShareHolder
from jujubetiller.quotas._team_limit import (
    DELEGATION_MS,
    KNOWLEDGE_MS,
    LISTED_MS,
    ROUND_MS,
    TOKEN_LIFE_MS,
    TeamLimit,
    derive_limit,
)
from jujubetiller.quotas._token_bucket import TokenBucket
from jujubetiller.quotas._token_lots import Token, TokenLots
from jujubetiller.quotas._transport import Transport
from jujubetiller.quotas._waiting_requests import Refusal, WaitingRequests

__all__ = [
    "DELEGATION_MS",
    "KNOWLEDGE_MS",
    "LISTED_MS",
    "ROUND_MS",
    "TOKEN_LIFE_MS",
    "Answer",
    "Coordinator",
    "Delegation",
    "Delegations",
    "Demand",
    "FleetShare",
    "Grant",
    "NodeQuota",
    "Question",
    "QuotaCounters",
    "QuotaRounds",
    "Refusal",
    "Sender",
    "ShareHolder",
    "ShareLease",
    "TeamLimit",
    "Token",
    "TokenBucket",
    "TokenLots",
    "Transport",
    "WaitingRequests",
    "count_wire_units",
    "derive_limit",
    "read_wire_units",
]
