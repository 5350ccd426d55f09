"""Execution keys: a non-idempotent request runs at most once.

A key names the only process that may run its request, the owner. The owner stores
each key that it has received until the key's epoch is too old to be accepted. So the
guarantee does not depend on an up-to-date list of instances, on the clock of another
process or on a lease.
"""

from jujubetiller.keys._begin import Begin
from jujubetiller.keys._epoch_counter import EpochCounter
from jujubetiller.keys._execution_key import ExecutionKey
from jujubetiller.keys._execution_table import ExecutionTable
from jujubetiller.keys._key_signer import KeySigner
from jujubetiller.keys._owner_epoch import OwnerEpoch
from jujubetiller.keys._refusal_codes import REFUSAL_CODES
from jujubetiller.keys._states import BeginState, KeyEvent, KeyState
from jujubetiller.keys._transitions import TRANSITIONS, Transition

__all__ = [
    "REFUSAL_CODES",
    "TRANSITIONS",
    "Begin",
    "BeginState",
    "EpochCounter",
    "ExecutionKey",
    "ExecutionTable",
    "KeyEvent",
    "KeySigner",
    "KeyState",
    "OwnerEpoch",
    "Transition",
]
