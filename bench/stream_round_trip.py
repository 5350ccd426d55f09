"""Measures small calls over one loopback stream between two processes.

It prints the round trip time of one call at a time, and the calls a second with
many calls in flight. Both parts have a fixed number of calls and a time limit.
"""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

import defopt
from twisted.internet import reactor as _reactor

from jujubetiller import calls, clock, codes, settings, streams

TIME_LIMIT_S = 20.0
DEADLINE_MS = 5_000.0

reactor: Any = _reactor


class EchoHandler(streams.StreamHandler):
    """Answers every call at once with its own body."""

    def handle_call(
        self, request: calls.CallRequest, reply: Callable[[calls.CallAnswer], None]
    ) -> Callable[[], None]:
        """Answer at once."""
        reply(
            calls.CallAnswer(
                codes.Outcome.ANSWERED,
                codes.ResultCode.ANSWERED,
                200,
                (("content-type", "application/json"),),
                request.body,
            )
        )
        return lambda: None

    def handle_seal(self, key: str, reply: Callable[[bool], None]) -> None:
        """Confirm no seal, as there are no execution keys."""
        reply(False)

    def handle_control(
        self, peer: streams.PeerIdentity, message: Any, reply: Callable[[Any], None]
    ) -> None:
        """Ignore the message."""

    def peer_connected(self, peer: streams.PeerIdentity) -> None:
        """Ignore the stream."""

    def peer_lost(self, peer: streams.PeerIdentity, reason: str) -> None:
        """Ignore the lost stream."""

    def peer_draining(self, peer: streams.PeerIdentity) -> None:
        """Ignore the drain."""


def make_pool(name: str) -> streams.StreamPool:
    """Return a pool with default settings."""
    identity = streams.PeerIdentity(
        name, "bench", "zone", "127.0.0.1", 0, 1, name, 1, False, b""
    )
    return streams.StreamPool(
        reactor,
        clock.SystemClock(),
        settings.StreamSettings(),
        lambda: identity,
        EchoHandler(),
    )


class Measurement:
    """Sends ``total`` calls, at most ``width`` of them in flight at a time."""

    def __init__(
        self,
        pool: streams.StreamPool,
        address: settings.Address,
        total: int,
        width: int,
        on_done: Callable[["Measurement"], None],
    ) -> None:
        self.pool = pool
        self.address = address
        self.left_to_send = total
        self.left_to_answer = total
        self.on_done = on_done
        self.times_us: list[float] = []
        self.failures = 0
        self.clock = clock.SystemClock()
        self.started_s = time.perf_counter()
        self.started_cpu_s = time.process_time()
        for _ in range(min(width, total)):
            self.send()

    def send(self) -> None:
        """Send one call."""
        self.left_to_send -= 1
        request = calls.CallRequest(
            "bench", "POST", "/echo", "echo", 1, 200, True, 0, 3, "tree-1234", 1, 1,
            headers=(("content-type", "application/json"),), body=b"x" * 200,
        )  # fmt: skip
        sent_s = time.perf_counter()

        def receive(answer: calls.CallAnswer) -> None:
            self.times_us.append((time.perf_counter() - sent_s) * 1e6)
            self.failures += answer.outcome is not codes.Outcome.ANSWERED
            self.left_to_answer -= 1
            if self.left_to_send:
                self.send()
            elif not self.left_to_answer:
                self.on_done(self)

        deadline = calls.Deadline.after(self.clock, DEADLINE_MS)
        self.pool.send_call(self.address, request, deadline, receive)

    def summary(self) -> dict[str, float]:
        """Return quantiles in microseconds, the rate and the CPU time per call."""
        elapsed_s = time.perf_counter() - self.started_s
        cpu_s = time.process_time() - self.started_cpu_s
        ordered = sorted(self.times_us)
        count = len(ordered)
        return {
            "calls": count,
            "failures": self.failures,
            "p50_us": round(ordered[count // 2], 1),
            "p99_us": round(ordered[count * 99 // 100], 1),
            "calls_per_second": round(count / elapsed_s),
            "caller_cpu_us_per_call": round(cpu_s / count * 1e6, 1),
        }


def serve() -> None:
    """Answer calls on a free port, print the port, and stop after the time limit."""
    port = make_pool("server").listen(settings.Address("127.0.0.1", 0))
    print(port.getHost().port, flush=True)  # type: ignore[attr-defined]
    reactor.callLater(TIME_LIMIT_S + 5, reactor.stop)
    reactor.run()


def measure(*, total: int = 20_000, width: int = 64) -> None:
    """Start a server process and print the measurements as JSON lines.

    :param total: calls in each part
    :param width: calls in flight at a time in the second part
    """
    server = subprocess.Popen(
        [sys.executable, "-m", "bench.stream_round_trip", "serve"],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert server.stdout is not None
    address = settings.Address("127.0.0.1", int(server.stdout.readline()))
    pool = make_pool("caller")

    def report(part: str, measurement: Measurement) -> None:
        print(json.dumps({"part": part, **measurement.summary()}))

    def start_sequential(_: Measurement) -> None:
        Measurement(pool, address, total, 1, start_concurrent)

    def start_concurrent(measurement: Measurement) -> None:
        report("one call at a time", measurement)
        Measurement(pool, address, total, width, finish)

    def finish(measurement: Measurement) -> None:
        report(f"{width} calls at a time", measurement)
        reactor.stop()

    Measurement(pool, address, 500, 1, start_sequential)
    reactor.callLater(TIME_LIMIT_S, reactor.stop)
    reactor.run()
    server.terminate()
    server.wait()


if __name__ == "__main__":
    defopt.run([measure, serve])
