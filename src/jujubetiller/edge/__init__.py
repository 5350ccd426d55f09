"""HTTP listeners for clients and for the node's own target."""

from jujubetiller.edge._edge_factory import EdgeFactory
from jujubetiller.edge._edge_handler import EdgeHandler, do_nothing
from jujubetiller.edge._edge_message import EdgeMessage
from jujubetiller.edge._edge_reply import EdgeReply
from jujubetiller.edge._headers import (
    CODE_HEADER,
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    HEADER_PREFIX,
    KEY_HEADER,
    LEAVING_HEADER,
    NOT_RUN_HEADER,
    OUTCOME_HEADER,
    RATE_LIMIT_HEADER,
    RECORD_HEADER,
    RETRY_TOKEN_HEADER,
)
from jujubetiller.edge._pipelined_factory import PipelinedFactory

__all__ = [
    "CODE_HEADER",
    "CONTEXT_HEADER",
    "DEADLINE_HEADER",
    "EdgeFactory",
    "EdgeHandler",
    "EdgeMessage",
    "EdgeReply",
    "HEADER_PREFIX",
    "KEY_HEADER",
    "LEAVING_HEADER",
    "NOT_RUN_HEADER",
    "PipelinedFactory",
    "OUTCOME_HEADER",
    "RATE_LIMIT_HEADER",
    "RECORD_HEADER",
    "RETRY_TOKEN_HEADER",
    "do_nothing",
]
