"""Measures the processor time of a served and of a refused request of a mesh node.

Run with ``python -m bench.request_cost``; prints one JSON line per case. All nodes run
in one process on the in-memory network, whose own time is contained in the figures of
served requests.
"""

import cProfile
import functools
import io
import json
import pstats
import sys
import time
from collections.abc import Callable
from typing import Any

import defopt
import logbook
from twisted.internet import testing

from jujubetiller import clock, edge, logs, settings
from jujubetiller.mesh import _egress_site
from standins.fleet import mesh_fleet

REQUESTS = 2_000
ROUNDS = 7
ENTRY = "ledger-1"
SERVICES = {ENTRY: "ledger", "booth-1": "booth", "booth-2": "booth"}
MAX_BODY_BYTES = 1_048_576
MAX_CONNECTIONS = 10
PROFILE_LINES = 45

HEAD = (
    "GET /get/{number} HTTP/1.1\r\n"
    "Host: a.example\r\n"
    "User-Agent: client/1.9.3\r\n"
    "Accept: */*\r\n"
    "Accept-Encoding: identity\r\n"
    "Jujubetiller-Request-Id: {number:016x}\r\n"
    "Jujubetiller-Deadline-Ms: 2000\r\n\r\n"
)


class Transport(testing.StringTransport):
    """A transport in memory that accepts TCP options."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Ignore the option."""


class Client:
    """A connection to the listener for clients of one node."""

    def __init__(self, fleet: mesh_fleet.MeshFleet) -> None:
        node = fleet.nodes[ENTRY]
        factory = edge.PipelinedFactory(
            node.reactor,
            node.parts.clock,
            _egress_site.EgressSite(node.parts),
            MAX_BODY_BYTES,
            MAX_CONNECTIONS,
        )
        self.fleet = fleet
        self.number = 0
        self.connection: Any = factory.buildProtocol(None)
        self.transport: Any = Transport()  # type: ignore[no-untyped-call]
        self.connection.makeConnection(self.transport)

    def send(self) -> None:
        """Send one request."""
        self.number += 1
        self.connection.dataReceived(HEAD.format(number=self.number).encode())

    def take_answers(self) -> bytes:
        """Return the answers received since the last call."""
        answers: bytes = self.transport.value()
        self.transport.clear()
        return answers


def serve(client: Client) -> None:
    """Send requests that an instance answers."""
    for _ in range(REQUESTS // 20):
        for _ in range(4):
            client.send()
        client.fleet.network.run_for(60.0)
    assert client.take_answers().count(b" 200 OK") == REQUESTS // 5


def refuse(client: Client) -> None:
    """Send requests that the route's throttle refuses."""
    for _ in range(REQUESTS):
        throttle = client.fleet.nodes[ENTRY].parts.throttles.find("get", 2)
        throttle.share = 0.0
        client.send()
    assert client.take_answers().count(b" 503 ") == REQUESTS


CASES: dict[str, tuple[Callable[[Client], None], int]] = {
    "served": (serve, REQUESTS // 5),
    "refused": (refuse, REQUESTS),
}


def measure(run: Callable[[], None], count: int) -> list[float]:
    """Return the microseconds of processor time per request, by round."""
    rounds = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        run()
        rounds.append((time.process_time() - started_s) / count * 1e6)
    return sorted(rounds)


def print_profile(run: Callable[[], None]) -> None:
    """Print the functions that take most of the time of one round."""
    profile = cProfile.Profile()
    profile.runcall(run)
    statistics = pstats.Stats(profile, stream=sys.stdout)
    statistics.sort_stats("tottime").print_stats(PROFILE_LINES)


def main(*, profile: bool = False) -> None:
    """Print the median, the least and the greatest round of each case.

    :param profile: print a profile of one round of each case instead
    """
    logs.start_logging(settings.LogSettings(), clock.SystemClock(), io.StringIO())
    logbook.Logger("bench").info("started")
    for name, (case, count) in CASES.items():
        client = Client(mesh_fleet.MeshFleet(SERVICES, work_ms=5.0))
        run = functools.partial(case, client)
        run()
        if profile:
            print_profile(run)
            continue
        rounds = measure(run, count)
        line = {
            "case": name,
            "median_us": round(rounds[ROUNDS // 2], 1),
            "least_us": round(rounds[0], 1),
            "greatest_us": round(rounds[-1], 1),
        }
        print(json.dumps(line))


if __name__ == "__main__":
    defopt.run(main)
