"""HTTP clients whose own cost is small compared with what they measure."""

import selectors
import socket
import time
from collections.abc import Sequence
from typing import Any

import httptools

TIMEOUT_S = 5.0
READ_BYTES = 65_536


class LightClient:
    """One blocking connection with one call at a time."""

    def __init__(self, address: dict[str, Any], path: str) -> None:
        self.socket = socket.create_connection(
            (address["host"], address["port"]), TIMEOUT_S
        )
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.request = f"GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n".encode()
        self.parser = httptools.HttpResponseParser(self)
        self.is_complete = False
        self.failures = 0
        self.body = b""

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; called by the parser."""
        self.body += data

    def on_message_complete(self) -> None:
        """Record that the response is complete; called by the parser."""
        self.is_complete = True

    def send(self) -> None:
        """Send the request."""
        self.is_complete = False
        self.body = b""
        self.parser = httptools.HttpResponseParser(self)
        self.socket.sendall(self.request)

    def receive(self) -> None:
        """Read the available bytes and pass them to the parser."""
        received = self.socket.recv(READ_BYTES)
        if not received:
            raise ConnectionError("the connection closed before the answer")
        self.parser.feed_data(received)
        if self.is_complete:
            self.failures += self.parser.get_status_code() != 200

    def call(self) -> float:
        """Make one call and return its duration in milliseconds."""
        started_s = time.perf_counter()
        self.send()
        while not self.is_complete:
            self.receive()
        return (time.perf_counter() - started_s) * 1000

    def fetch(self) -> bytes:
        """Make one call and return the body of the response."""
        self.call()
        return self.body

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()


def run_interleaved(clients: Sequence[LightClient], calls: int) -> list[list[float]]:
    """Make ``calls`` calls per client, alternating; return durations in ms."""
    times: list[list[float]] = [[] for _ in clients]
    for _ in range(calls):
        for client, durations_ms in zip(clients, times, strict=True):
            durations_ms.append(client.call())
    return times


def run_open_loop(client: LightClient, calls: int, rate: float) -> list[float]:
    """Make calls at a fixed rate and return their durations in milliseconds.

    If the previous call ended after the due time, the duration counts from the due
    time, so that a slow response also counts for the calls that wait behind it. A
    late wake-up of this client does not count.
    """
    times = []
    due_s = time.perf_counter()
    for _ in range(calls):
        due_s += 1 / rate
        left_s = due_s - time.perf_counter()
        if left_s > 0:
            time.sleep(left_s)
        times.append(client.call() + max(0.0, -left_s * 1000))
    return times


def run_closed_loop(clients: Sequence[LightClient], seconds: float) -> int:
    """Keep one call in flight per client; return the number of finished calls."""
    finished = 0
    ends_s = time.perf_counter() + seconds
    with selectors.DefaultSelector() as selector:
        for client in clients:
            selector.register(client.socket, selectors.EVENT_READ, client)
            client.send()
        in_flight = len(clients)
        while in_flight:
            for key, _ in selector.select(TIMEOUT_S):
                client = key.data
                client.receive()
                if not client.is_complete:
                    continue
                finished += 1
                if time.perf_counter() < ends_s:
                    client.send()
                else:
                    in_flight -= 1
    return finished
