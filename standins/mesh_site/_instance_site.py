"""A stand-in instance that answers each request after a fixed time."""

import collections
import json
from collections.abc import Callable
from typing import Any

from jujubetiller import edge
from standins.mesh_site import _stand_in_site

_ID = "jujubetiller-request-id"
_EXPECTED = "jujubetiller-expected-instance"


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
        self.runs: collections.Counter[str] = collections.Counter()
        self.cancelled = 0

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Run a request, or answer that it was not run."""
        request = message.control.get(_ID, "")
        if message.control.get(_EXPECTED) != self.name:
            reply(edge.EdgeReply(421, [("Jujubetiller-Instance-Id", self.name)], b""))
            return edge.do_nothing
        if self.fault == "shed":
            reply(edge.EdgeReply(503, [("Jujubetiller-Not-Executed", "1")], b""))
            return edge.do_nothing
        self.runs[request] += 1
        if self.fault == "lost":
            return edge.do_nothing
        body = json.dumps({"instance": self.name, "path": message.path}).encode()
        headers = [(_ID, request), ("Jujubetiller-Server-Stamp", f"{self.name}.1")]
        timer = self.reactor.callLater(
            self.work_ms / 1000.0, reply, edge.EdgeReply(200, headers, body)
        )

        def cancel() -> None:
            self.cancelled += 1
            timer.cancel()

        return cancel
