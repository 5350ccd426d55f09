"""Guards against log lines that are not JSON and faults that flood standard error."""

import io
import json

import logbook
from twisted import logger
from twisted.python import failure

from jujubetiller import clock, logs


def make_handler(
    time_source: clock.Clock, level: str = "info", kinds: int = 10
) -> tuple[logs.JsonLinesHandler, io.StringIO]:
    stream = io.StringIO()
    rate_limiter = logs.MessageRateLimiter(time_source, highest=2, kinds=kinds)
    return logs.JsonLinesHandler(logs.StreamOutput(stream), rate_limiter, level), stream


def test_each_line_is_json_from_the_level_on() -> None:
    handler, stream = make_handler(clock.ManualClock(), level="warning")
    log = logbook.Logger("streams")
    with handler.applicationbound():
        log.info("not written")
        log.warning("lost {}\n", "peer", extra={"calls": 3})
        try:
            raise ValueError("bad")
        except ValueError:
            log.exception("failed")
    first, second = map(json.loads, stream.getvalue().splitlines())
    assert (first["message"], first["calls"]) == ("lost peer\n", 3)
    assert "ValueError: bad" in second["error"]


def test_repeats_are_suppressed_and_counted() -> None:
    manual_clock = clock.ManualClock()
    handler, stream = make_handler(manual_clock)
    log = logbook.Logger("streams")
    with handler.applicationbound():
        for number in range(10):
            log.error("lost {}", number)
        log.error("another")
        manual_clock.advance(1_000)
        log.error("lost {}", 10)
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["message"] for line in lines] == [
        "lost 0",
        "lost 1",
        "another",
        "lost 10",
    ]
    assert lines[-1]["suppressed"] == 8
    assert handler.rate_limiter.suppressed_total == 8


def test_the_table_of_kinds_is_bounded() -> None:
    rate_limiter = logs.MessageRateLimiter(clock.ManualClock(), highest=1, kinds=3)
    passed = [rate_limiter.admit(f"kind {number}") for number in range(100)]
    assert passed.count(0) == 4
    assert len(rate_limiter.windows) == 3


def test_an_unhandled_error_in_twisted_is_a_line_of_json() -> None:
    handler, stream = make_handler(clock.ManualClock())
    twisted_log = logger.Logger("test", observer=logs.TwistedObserver())
    with handler.applicationbound():
        twisted_log.info("not written")
        twisted_log.failure("while {a}", failure.Failure(ValueError("x")), a="{b}")
    (line,) = map(json.loads, stream.getvalue().splitlines())
    assert line["level"] == "critical"
    assert "ValueError" in line["detail"]
