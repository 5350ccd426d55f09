"""A child process of a local site."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from typing import Any

STOP_TIMEOUT_S = 40.0


class Child:
    """Runs a Python module as a child process.

    Stand-ins exit when their standard input closes; a node gets ``input_text`` as its
    whole input. The first line that the process prints, its hello, is a JSON object
    with its ports. Its standard error is kept for diagnosis.
    """

    def __init__(self, module: str, arguments: list[str], input_text: str = "") -> None:
        # An unnamed file, so that none remains if the test process is killed.
        self.errors = tempfile.TemporaryFile(mode="w+")  # noqa: SIM115
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path[:]) or "."}
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.errors,
            text=True,
            env=environment,
        )
        assert self.process.stdin is not None
        if input_text:
            self.process.stdin.write(input_text)
            self.process.stdin.close()
        self.hello: dict[str, Any] = {}

    def read_hello(self) -> dict[str, Any]:
        """Wait for the first line of output and return it parsed."""
        line = self.read_line()
        if not line:
            raise RuntimeError(f"the process exited at start-up: {self.read_errors()}")
        self.hello = json.loads(line)
        return self.hello

    def read_line(self) -> str:
        """Return the next line of output, or an empty string at its end."""
        assert self.process.stdout is not None
        return self.process.stdout.readline()

    def read_errors(self) -> str:
        """Return what the process wrote to standard error so far."""
        self.errors.seek(0)
        return self.errors.read()

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP until ``thaw``."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.signal(signal.SIGKILL)
        self.process.wait(STOP_TIMEOUT_S)

    def stop(self) -> int:
        """Send SIGTERM, wait for the exit and return the exit status."""
        self.signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kill the process if it still runs or is suspended, and close its files."""
        if self.process.poll() is None:
            self.thaw()
            self.kill()
        for stream in (self.process.stdin, self.process.stdout, self.errors):
            if stream is not None:
                stream.close()
