"""One call received by a target."""

from typing import Any

import attrs
from twisted.internet import defer
from twisted.web import server

from standins import headers, http
from standins.target import _plan


@attrs.define(eq=False)
class Run:
    """The state of a call from its arrival to its answer."""

    request: server.Request
    path: str
    plan: _plan.PathPlan
    marker: str
    key: str
    context: str
    body: bytes

    deadline_at: float
    """Seconds on the reactor's clock; infinite without a deadline."""

    state: str = "queued"
    deferred: defer.Deferred[None] | None = None
    timer: Any = None

    @classmethod
    def read(
        cls, request: server.Request, path: str, plan: _plan.PathPlan, now: float
    ) -> "Run":
        """Return the run of ``request``; ``now`` is in seconds."""
        left_ms = http.read_header(request, headers.DEADLINE)
        marker = http.read_argument(request, "marker")
        return cls(
            request=request,
            path=path,
            plan=plan,
            marker=marker or http.read_header(request, headers.MARKER),
            key=http.read_header(request, headers.KEY),
            context=http.read_header(request, headers.CONTEXT),
            body=http.read_body(request),
            deadline_at=now + float(left_ms) / 1000 if left_ms else float("inf"),
        )
