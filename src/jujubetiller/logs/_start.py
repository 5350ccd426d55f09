"""Sets up logging for the process."""

import io
from typing import IO

from twisted import logger

from jujubetiller import clock, settings
from jujubetiller.logs import (
    _descriptor_output,
    _json_lines_handler,
    _line_output,
    _message_rate_limiter,
    _twisted_observer,
)


def start_logging(
    log_settings: settings.LogSettings, time_source: clock.Clock, stream: IO[str]
) -> _json_lines_handler.JsonLinesHandler:
    """Send the logs of the whole process to ``stream`` and return the handler."""
    rate_limiter = _message_rate_limiter.MessageRateLimiter(
        time_source, log_settings.repeats_per_second, log_settings.message_kinds
    )
    handler = _json_lines_handler.JsonLinesHandler(
        make_output(stream), rate_limiter, log_settings.level
    )
    handler.push_application()
    logger.globalLogBeginner.beginLoggingTo(
        [_twisted_observer.TwistedObserver()],
        redirectStandardIO=False,
        discardBuffer=True,
    )
    return handler


def make_output(stream: IO[str]) -> _line_output.LineOutput:
    """Return an output that does not wait for the reader, if the system has one."""
    try:
        return _descriptor_output.DescriptorOutput(stream.fileno())
    except io.UnsupportedOperation:
        return _line_output.StreamOutput(stream)
