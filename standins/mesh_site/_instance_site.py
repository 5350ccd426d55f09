"""A stand-in instance that answers each request after a fixed time."""

import collections
import json
from collections.abc import Callable
from typing import Any

from jujubetiller import edge
from standins.mesh_site import _crash_plan, _stand_in_site

_ID = "jujubetiller-request-id"
_EXPECTED = "jujubetiller-expected-instance"
_NOT_RUN = ("Jujubetiller-Not-Executed", "1")


def _do_nothing() -> None:
    """Do nothing; the default effect of a crash."""


class InstanceSite(_stand_in_site.StandInSite):
    """Runs the requests that are addressed to it and counts the runs of each.

    ``fault`` is the injected fault: ``none``, ``lost`` (requests run, but get no
    answer) or ``shed`` (requests are refused without being run).
    """

    def __init__(
        self, reactor: Any, name: str, service: str, work_ms: float = 5.0
    ) -> None:
        self.reactor = reactor
        self.name = name
        self.service = service
        self.work_ms = work_ms
        self.fault = "none"
        self.rate_limit = ""
        """The limit that the instance names in its answers; empty for none."""

        self.is_leaving = False
        """Whether the instance says in its answers that it leaves."""

        self.limited_periods: list[tuple[float, float, str]] = []
        """The past periods with a rate limit: start, end and the limit."""

        self.limited_from_ms = 0.0
        self.arrivals: list[tuple[float, str]] = []
        """When each request arrived, in milliseconds, and its id."""

        self.crash_plan = _crash_plan.CrashPlan()
        self.crash: Callable[[], None] = _do_nothing
        """Ends the process of the instance."""

        self.runs: collections.Counter[str] = collections.Counter()
        self.cancelled = 0

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Run a request, or answer that it was not run."""
        request = message.control.get(_ID, "")
        self.arrivals.append((self.reactor.seconds() * 1000.0, request))
        if message.control.get(_EXPECTED) != self.name:
            reply(edge.EdgeReply(421, [("Jujubetiller-Instance-Id", self.name)], b""))
            return edge.do_nothing
        if self.fault == "shed":
            headers = [(_ID, request), _NOT_RUN, *self.make_notices()]
            reply(edge.EdgeReply(503, headers, b""))
            return edge.do_nothing
        self.runs[request] += 1
        if self.begin_run(message.path) or self.fault == "lost":
            return edge.do_nothing
        body = json.dumps({"instance": self.name, "path": message.path}).encode()
        stamp = ("Jujubetiller-Server-Stamp", f"{self.name}.1")

        def finish() -> None:
            headers = [(_ID, request), stamp, *self.make_notices()]
            reply(edge.EdgeReply(200, headers, body))

        timer = self.reactor.callLater(self.work_ms / 1000.0, finish)

        def cancel() -> None:
            self.cancelled += 1
            timer.cancel()

        return cancel

    def begin_run(self, path: str) -> bool:
        """Record the run; return whether it crashes the instance a little later."""
        plan = self.crash_plan
        run = _crash_plan.Run(self.reactor.seconds() * 1000.0, self.name, path)
        plan.runs.append(run)
        if path not in plan.paths:
            return False
        self.reactor.callLater(plan.after_ms / 1000.0, self.end_with, run)
        return True

    def end_with(self, run: _crash_plan.Run) -> None:
        """End the instance because of ``run``."""
        self.crash_plan.crashes.append(run)
        self.crash()

    def set_rate_limit(self, rate_limit: str) -> None:
        """Name another rate limit in the answers from now on."""
        now_ms = self.reactor.seconds() * 1000.0
        if self.rate_limit:
            period = (self.limited_from_ms, now_ms, self.rate_limit)
            self.limited_periods.append(period)
        self.rate_limit = rate_limit
        self.limited_from_ms = now_ms

    def list_limited_periods(self) -> list[dict[str, Any]]:
        """Return the past periods with a rate limit and when requests arrived."""
        return [
            {
                "limit_per_s": float(limit),
                "from_ms": from_ms,
                "to_ms": to_ms,
                "arrivals_ms": [
                    at_ms for at_ms, _ in self.arrivals if from_ms <= at_ms < to_ms
                ],
            }
            for from_ms, to_ms, limit in self.limited_periods
        ]

    def make_notices(self) -> list[tuple[str, str]]:
        """Return the headers in which the instance describes its state."""
        notices = []
        if self.rate_limit:
            notices.append(("Server-Limit", self.rate_limit))
        if self.is_leaving:
            notices.append(("Server-Leaving", "1"))
        return notices
