"""Helpers that start stand-ins as processes and send HTTP requests to them."""

import contextlib
import http.client
import json
import subprocess
import sys
from collections.abc import Iterator
from typing import Any


@contextlib.contextmanager
def start_process(
    module: str, document: dict[str, Any]
) -> Iterator[subprocess.Popen[str]]:
    """Run a stand-in; check that it exits with status 0 when its input closes."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, json.dumps(document)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdin is not None
    assert process.stdout is not None
    try:
        yield process
    finally:
        process.stdin.close()
        assert process.wait(10) == 0
        process.stdout.close()


def read_lines(process: subprocess.Popen[str], number: int) -> list[str]:
    """Return the next ``number`` lines of the output."""
    assert process.stdout is not None
    return [process.stdout.readline() for _ in range(number)]


@contextlib.contextmanager
def start(module: str, document: dict[str, Any]) -> Iterator[dict[str, int]]:
    """Run a stand-in and yield its ports."""
    with start_process(module, document) as process:
        yield json.loads(read_lines(process, 1)[0])


def call(port: int, method: str, path: str, document: Any = None) -> tuple[int, Any]:
    """Send one HTTP request and return the status and JSON body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    with contextlib.closing(connection):
        connection.request(method, path, json.dumps(document) if document else None)
        answer = connection.getresponse()
        body = answer.read()
        return answer.status, json.loads(body) if body else None
