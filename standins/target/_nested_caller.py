"""Nested calls from a run to other services."""

import json
import math
import random
from typing import Any

from twisted.internet import error
from twisted.web import client as web_client

from standins import client, headers
from standins.target import _plan, _run


class NestedCaller:
    """Makes the nested calls of runs through the node or directly to targets."""

    def __init__(
        self, plan: _plan.TargetPlan, reactor: Any, generator: random.Random
    ) -> None:
        self.routes = dict(plan.routes)
        self.reactor = reactor
        self.generator = generator
        self.client = client.Client(reactor)

    async def call(
        self, run: _run.Run, index: int, call: _plan.NestedCall
    ) -> dict[str, Any]:
        """Make one nested call with the target's own retries."""
        marker = f"{run.marker}/{index}-{call.service}"
        outcome: dict[str, Any] = {}
        for attempt in range(1, call.retries + 2):
            outcome = await self.send(run, call, marker)
            outcome["attempts"] = attempt
            if outcome["status"] == 200:
                break
        return outcome

    def make_headers(self, run: _run.Run, marker: str) -> dict[str, str]:
        """Return the headers that a target propagates to nested calls."""
        propagated = {headers.MARKER: marker}
        if run.context:
            propagated[headers.CONTEXT] = run.context
        if math.isfinite(run.deadline_at):
            left_ms = max(1.0, (run.deadline_at - self.reactor.seconds()) * 1000)
            propagated[headers.DEADLINE] = str(int(left_ms))
        return propagated

    async def send(
        self, run: _run.Run, call: _plan.NestedCall, marker: str
    ) -> dict[str, Any]:
        """Make one attempt; a failed connection has status 0."""
        outcome: dict[str, Any] = {
            "service": call.service,
            "path": call.path,
            "marker": marker,
            "status": 0,
            "body": None,
        }
        addresses = self.routes.get(call.service) or self.routes.get(_plan.ANY)
        if not addresses:
            return outcome | {"error": f"no route to {call.service!r}"}
        address = self.generator.choice(addresses)
        try:
            answer = await self.client.call(
                call.method,
                f"http://{address}/{call.service}{call.path}",
                self.make_headers(run, marker),
                marker.encode(),
            )
        except (error.ConnectError, error.ConnectionLost, error.ConnectionDone) as why:
            return outcome | {"error": repr(why)}
        except (web_client.ResponseFailed, web_client.PartialDownloadError) as why:
            return outcome | {"error": repr(why)}
        outcome["status"] = answer.status
        outcome["outcome"] = answer.header(headers.OUTCOME)
        outcome["code"] = answer.header(headers.CODE)
        try:
            outcome["body"] = json.loads(answer.body)
        except ValueError:
            outcome["error"] = "the answer is no JSON"
        return outcome
