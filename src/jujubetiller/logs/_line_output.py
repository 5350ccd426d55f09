"""Where log lines are written."""

import abc
from typing import IO


class LineOutput(abc.ABC):
    """Takes whole lines."""

    @abc.abstractmethod
    def write_line(self, line: str) -> bool:
        """Write ``line``, which has no line break; False if it is dropped."""

    @abc.abstractmethod
    def flush(self) -> None:
        """Write lines that were kept because the reader was slow."""


class StreamOutput(LineOutput):
    """Writes to a text stream, and waits until it takes the line."""

    def __init__(self, stream: IO[str]) -> None:
        self.stream = stream

    def write_line(self, line: str) -> bool:
        """Write ``line`` at once."""
        self.stream.write(line + "\n")
        self.flush()
        return True

    def flush(self) -> None:
        """Write what the stream has buffered."""
        self.stream.flush()
