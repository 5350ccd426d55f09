"""A mesh node as a child process."""

import contextlib
import http.client
import json
import subprocess
import threading
from typing import Any

import attrs

ANSWER_TIMEOUT_S = 10.0
END_TIMEOUT_S = 10.0

LOG_TIMEOUT_S = 120.0
"""A node that has not logged an expected line by then is killed: the test fails."""

OFFSETS = {
    "instance": 1,
    "readiness": 2,
    "egress": 4,
    "peer": 5,
    "metrics": 6,
    "last": 9,
}
"""Port of each listener, relative to the port base; the same on all hosts."""


@attrs.define
class MeshProcess:
    """Controls the process of a node and connects to its listeners."""

    host: str

    ports: int
    """The port base, to which ``OFFSETS`` are added."""

    process: subprocess.Popen[str]

    def wait_for(self, message: str) -> dict[str, Any]:
        """Read log lines up to the one with ``message`` and return that one."""
        assert self.process.stdout is not None
        watchdog = threading.Timer(LOG_TIMEOUT_S, self.process.kill)
        watchdog.daemon = True
        watchdog.start()
        try:
            for line in self.process.stdout:
                document: dict[str, Any] = json.loads(line)
                if document["message"] == message:
                    return document
        finally:
            watchdog.cancel()
        raise AssertionError(f"the node ended and has not logged {message!r}")

    def ask(
        self, path: str, request: str, method: str = "GET", key: str = ""
    ) -> tuple[int, bytes]:
        """Send a request with the id ``request``; return the status and the body.

        ``key`` is the API key of a team; empty for none.
        """
        with self.connect("egress") as connection:
            headers = {
                "Host": "a.example",
                "Jujubetiller-Request-Id": request,
                "Jujubetiller-Deadline-Ms": "4000",
            }
            if key:
                headers["Authorization"] = f"Bearer {key}"
            connection.request(method, path, headers=headers)
            answer = connection.getresponse()
            return answer.status, answer.read()

    def connect(self, listener: str) -> contextlib.closing[http.client.HTTPConnection]:
        """Return a connection to a listener, as a context manager that closes it."""
        port = self.ports + OFFSETS[listener]
        return contextlib.closing(
            http.client.HTTPConnection(self.host, port, timeout=ANSWER_TIMEOUT_S)
        )

    def readiness(self) -> int:
        """Return the HTTP status that the readiness listener answers."""
        with self.connect("readiness") as connection:
            connection.request("GET", "/readiness")
            return connection.getresponse().status

    def close(self) -> None:
        """Kill the process and close its output."""
        self.process.kill()
        self.process.wait(END_TIMEOUT_S)
        assert self.process.stdout is not None
        self.process.stdout.close()
