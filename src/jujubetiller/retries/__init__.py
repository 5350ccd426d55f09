"""Retries that are bounded over a whole call tree.

A tree starts with a number of retry tokens. Every send of a call beyond its
first costs one token, wherever in the tree it happens and whoever causes it: a
node that retries, a target that sends a duplicate of a nested call, or a client
that sends its request again through another node.
"""

from jujubetiller.retries._call_context import CallContext
from jujubetiller.retries._client_retries import ClientRetries
from jujubetiller.retries._context_table import ContextTable
from jujubetiller.retries._duplicate_detector import DuplicateDetector, NestedCallType
from jujubetiller.retries._fingerprint import compute_fingerprint
from jujubetiller.retries._request_outcome import RequestOutcome
from jujubetiller.retries._retry_decision import (
    RetryAction,
    RetryDecision,
    RetryReason,
)
from jujubetiller.retries._retry_ledger import RetryLedger
from jujubetiller.retries._retry_policy import RetryPolicy
from jujubetiller.retries._retry_token import RetryToken
from jujubetiller.retries._retry_token_signer import RetryTokenSigner
from jujubetiller.retries._success import is_successful
from jujubetiller.retries._used_token_table import UsedTokenTable

__all__ = [
    "CallContext",
    "ClientRetries",
    "ContextTable",
    "NestedCallType",
    "DuplicateDetector",
    "RequestOutcome",
    "RetryAction",
    "RetryDecision",
    "RetryLedger",
    "RetryPolicy",
    "RetryReason",
    "RetryToken",
    "RetryTokenSigner",
    "UsedTokenTable",
    "compute_fingerprint",
    "is_successful",
]
