"""Logging as JSON lines, with a rate limit for repeated messages."""

from jujubetiller.logs._json_lines_handler import JsonLinesHandler
from jujubetiller.logs._message_rate_limiter import MessageRateLimiter
from jujubetiller.logs._start import start_logging
from jujubetiller.logs._twisted_observer import TwistedObserver

__all__ = ["JsonLinesHandler", "MessageRateLimiter", "TwistedObserver", "start_logging"]
