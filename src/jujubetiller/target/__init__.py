"""HTTP client of the node's own target."""

from jujubetiller.target._target_call import TargetCall
from jujubetiller.target._target_client import TargetClient
from jujubetiller.target._target_probe import ProbeResult
from jujubetiller.target._target_request import TargetRequest
from jujubetiller.target._target_response import TargetResponse
from jujubetiller.target._target_statistics import TargetStatistics

__all__ = [
    "ProbeResult",
    "TargetCall",
    "TargetClient",
    "TargetRequest",
    "TargetResponse",
    "TargetStatistics",
]
