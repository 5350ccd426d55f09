"""Demonstrates nodes on the users' platform, with stand-ins of store and instances.

The phases: normal operation, a killed node, a store that refuses all requests, a new
configuration and a planned stop. Run by ``make demo`` after ``bench.demo``; exits with
a non-zero status if a request ran twice, or if one that should be served was not.
"""

import collections
import contextlib
import pathlib
import signal
import sys
import tempfile

from standins import mesh_site

REQUESTS = 60
ENTRY = "ledger-1"
KILLED = "booth-1"
STOPPED = "booth-2"
STOP_TIMEOUT_S = 10.0
BOOKING_INTERVAL = 2


class Demonstration:
    """Sends requests through one node and counts their status codes."""

    def __init__(self, site: mesh_site.LocalMeshSite) -> None:
        self.site = site
        self.sent = 0
        self.broken: list[str] = []

    def send(self, phase: str) -> None:
        """Send reads and bookings alternately and check that all get status 200."""
        statuses: collections.Counter[int] = collections.Counter()
        for _ in range(REQUESTS):
            self.sent += 1
            request = f"{phase}-{self.sent}".replace(" ", "-")
            is_booking = self.sent % BOOKING_INTERVAL == 0
            path, method = ("/book/1", "POST") if is_booking else ("/get/1", "GET")
            statuses[self.site.nodes[ENTRY].ask(path, request, method)[0]] += 1
        listed = ", ".join(f"{count} of {status}" for status, count in statuses.items())
        print(f"{phase:<28} {listed}")
        if statuses[200] < REQUESTS:
            self.broken.append(f"{phase}: not all requests were answered with 200")

    def check_runs(self) -> None:
        """Check that no request ran twice."""
        for request, runs in self.site.tell("runs").items():
            if runs > 1:
                self.broken.append(f"{request} ran {runs} times")


def run(site: mesh_site.LocalMeshSite) -> list[str]:
    """Run the phases and return a sentence for each broken promise."""
    demonstration = Demonstration(site)
    demonstration.send("calm")
    site.nodes[KILLED].process.kill()
    demonstration.send("a node was killed")
    site.start_node(KILLED).wait_for("state compared with peers")
    site.tell("down", down=True)
    demonstration.send("the store turns all away")
    site.tell("down", down=False)
    site.publish(2, "ledger")
    site.nodes[ENTRY].wait_for("configuration in force")
    demonstration.send("a new configuration")
    site.publish(3, "booth")
    stopped = site.nodes[STOPPED].process
    stopped.send_signal(signal.SIGTERM)
    demonstration.send("a node stops")
    if stopped.wait(STOP_TIMEOUT_S) != 0:
        demonstration.broken.append("the planned stop failed")
    demonstration.check_runs()
    return demonstration.broken


def main() -> int:
    """Run the demonstration and return the exit status."""
    print("starting a store, 3 instances and 3 nodes of the users' platform")
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        site = mesh_site.LocalMeshSite(folder, stack)
        site.start()
        broken = run(site)
    for sentence in broken:
        print(f"BROKEN: {sentence}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
