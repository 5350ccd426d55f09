"""Guards against a process that waits for the reader of its log."""

import json
import os
from collections.abc import Iterator

import attrs
import logbook
import pytest

from jujubetiller import clock, logs

MAX_WAITING_BYTES = 100_000
LINE = "x" * 999


@attrs.frozen
class Pipe:
    """An output and the descriptor from which its lines are read."""

    output: logs.DescriptorOutput
    reader: int

    def read(self) -> str:
        """Return all that was written, also what had to wait."""
        text = ""
        os.set_blocking(self.reader, False)
        while True:
            self.output.flush()
            try:
                text += os.read(self.reader, 65_536).decode()
            except BlockingIOError:
                return text


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    reader, writer = os.pipe()
    yield Pipe(logs.DescriptorOutput(writer, MAX_WAITING_BYTES), reader)
    os.close(reader)
    os.close(writer)


def test_lines_are_written_at_once_while_the_reader_takes_them(pipe: Pipe) -> None:
    assert pipe.output.write_line("first") and pipe.output.write_line("second")
    assert os.read(pipe.reader, 100) == b"first\nsecond\n"


def test_lines_wait_for_the_reader_and_are_dropped_beyond_the_bound(
    pipe: Pipe,
) -> None:
    taken = [pipe.output.write_line(f"{number} {LINE}") for number in range(1_000)]
    assert pipe.output.waiting_bytes <= MAX_WAITING_BYTES
    kept = taken.count(True)
    assert taken == [True] * kept + [False] * (1_000 - kept)
    lines = pipe.read().splitlines()
    assert lines == [f"{number} {LINE}" for number in range(kept)]
    assert pipe.output.write_line("next")
    assert pipe.read() == "next\n"


def test_a_line_longer_than_the_bound_is_written(pipe: Pipe) -> None:
    line = "x" * (2 * MAX_WAITING_BYTES)
    assert pipe.output.write_line(line)
    assert pipe.read() == f"{line}\n"


def test_lines_for_a_reader_that_is_gone_are_dropped() -> None:
    reader, writer = os.pipe()
    output = logs.DescriptorOutput(writer)
    os.close(reader)
    assert output.write_line("lost")
    assert output.waiting_bytes == 0
    os.close(writer)


def test_the_next_line_says_how_many_were_dropped(pipe: Pipe) -> None:
    rate_limiter = logs.MessageRateLimiter(clock.ManualClock(), 10_000, kinds=10)
    handler = logs.JsonLinesHandler(pipe.output, rate_limiter, "info")
    log = logbook.Logger("streams")
    with handler.applicationbound():
        for _ in range(1_000):
            log.info("{}", LINE)
        first = [json.loads(line) for line in pipe.read().splitlines()]
        log.info("after")
        (after,) = map(json.loads, pipe.read().splitlines())
    assert after["dropped"] == 1_000 - len(first) == handler.dropped_total
    assert handler.dropped == 0
