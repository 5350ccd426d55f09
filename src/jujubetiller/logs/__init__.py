"""Logging as JSON lines, with a rate limit for repeated messages."""

from jujubetiller.logs._descriptor_output import DescriptorOutput
from jujubetiller.logs._json_lines_handler import JsonLinesHandler
from jujubetiller.logs._line_output import LineOutput, StreamOutput
from jujubetiller.logs._message_rate_limiter import MessageRateLimiter
from jujubetiller.logs._start import start_logging
from jujubetiller.logs._twisted_observer import TwistedObserver

__all__ = [
    "DescriptorOutput",
    "JsonLinesHandler",
    "LineOutput",
    "MessageRateLimiter",
    "StreamOutput",
    "TwistedObserver",
    "start_logging",
]
