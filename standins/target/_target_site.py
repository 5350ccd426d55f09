"""The HTTP interface of a target."""

import json
import math
import random
from collections import deque
from typing import Any

import result
from twisted.internet import defer, task
from twisted.python import failure
from twisted.web import server

from jujubetiller import codes, schema, settings
from standins import answers, headers, http
from standins.target import _nested_caller, _plan, _run, _run_counters


class TargetSite(http.Handler):
    """Runs calls in a bounded number of slots behind a bounded queue.

    ``GET /_runs`` returns the counters and ``GET /_health`` the health, which
    ``TargetState.health`` can falsify. ``PUT /_state`` replaces the ``TargetState``,
    ``PUT /_paths`` the plans of paths and ``PUT /_routes`` the addresses of services.
    """

    def __init__(self, plan: _plan.TargetPlan, reactor: Any) -> None:
        super().__init__()
        self.plan = plan
        self.reactor = reactor
        self.paths = dict(plan.paths)
        self.state = _plan.TargetState()
        self.generator = random.Random(plan.seed)
        self.caller = _nested_caller.NestedCaller(plan, reactor, self.generator)
        self.counters = _run_counters.RunCounters()
        self.started_at = reactor.seconds()
        self.running: set[_run.Run] = set()
        self.waiting: deque[_run.Run] = deque()
        self.control_handlers = {
            ("GET", "/_runs"): self.answer_runs,
            ("GET", "/_health"): self.answer_health,
            ("PUT", "/_state"): self.set_state,
            ("PUT", "/_paths"): self.set_paths,
            ("PUT", "/_routes"): self.set_routes,
        }

    def handle(self, request: server.Request) -> None:
        """Run a call, or handle a request to a control path."""
        path = request.path.decode()
        control = self.control_handlers.get((request.method.decode(), path))
        if control is not None:
            control(request)
            return
        # Callers that reach the target without a node prefix the path with the service.
        service_prefix = f"/{self.plan.service}/"
        path = (
            path[len(service_prefix) - 1 :] if path.startswith(service_prefix) else path
        )
        plan = self.paths.get(path) or self.paths.get(_plan.ANY) or _plan.PathPlan()
        self.admit(_run.Run.read(request, path, plan, self.reactor.seconds()))

    def admit(self, run: _run.Run) -> None:
        """Start ``run``, queue it or refuse it."""
        if self.state.draining:
            self.refuse(run, "draining")
            return
        if len(self.running) >= self.plan.slots:
            if len(self.waiting) >= self.plan.queue_length:
                self.refuse(run, "shed")
                return
            self.waiting.append(run)
        run.request.notifyFinish().addErrback(lambda _: self.end(run, "cancelled"))
        if math.isfinite(run.deadline_at) and run.plan.fault != "freeze":
            left = max(0.0, run.deadline_at - self.reactor.seconds())
            run.timer = self.reactor.callLater(left, self.expire, run)
        if run not in self.waiting:
            self.start(run)

    def refuse(self, run: _run.Run, reason: str) -> None:
        """Answer 503, marked as not run if draining or if ``plan.sheds`` is set."""
        self.counters.ends[reason] += 1
        if self.plan.sheds or reason == "draining":
            run.request.setHeader(headers.NOT_RUN, "1")
        http.answer_json(run.request, 503, {"refused": reason})

    def start(self, run: _run.Run) -> None:
        """Start ``run`` in a free slot."""
        run.state = "running"
        self.running.add(run)
        self.counters.count_run(run.marker, run.key, run.path, len(self.running))
        run.deferred = defer.Deferred.fromCoroutine(self.work(run))
        run.deferred.addErrback(self.fail, run)

    async def work(self, run: _run.Run) -> None:
        """Wait for the path's run time, make its nested calls and answer."""
        plan = run.plan
        run_ms = plan.run_ms + self.generator.uniform(-1, 1) * plan.spread_ms
        if (self.reactor.seconds() - self.started_at) * 1000 < self.plan.cold_ms:
            run_ms *= self.plan.cold_factor
        await task.deferLater(self.reactor, max(0.0, run_ms) / 1000)
        if plan.fault == "freeze":
            await defer.Deferred()
        document = answers.make_document(
            run.marker, self.plan.service, self.plan.instance, run.key, run.body
        )
        status = 200
        for index, call in enumerate(plan.calls):
            nested = await self.caller.call(run, index, call)
            document["nested"].append(nested)
            if nested["status"] != 200:
                status = 502
                break
        body = answers.encode(document, plan.answer_bytes)
        self.end(run, "completed" if status == 200 else "nested failure")
        self.answer(run, status, body)

    def answer(self, run: _run.Run, status: int, body: bytes) -> None:
        """Write the answer, or half of it when the path's fault is ``close``."""
        request = run.request
        request.setResponseCode(status)
        request.setHeader(b"Content-Type", b"application/json")
        request.setHeader(b"Content-Length", str(len(body)).encode())
        if run.context:
            request.setHeader(headers.CONTEXT.encode(), run.context.encode())
        if run.plan.fault == "close":
            request.write(body[: len(body) // 2])
            request.channel.loseConnection()
            return
        request.write(body)
        request.finish()

    def fail(self, reason: failure.Failure, run: _run.Run) -> None:
        """Answer 500 for an error of the stand-in itself; ignore cancellation."""
        if reason.check(defer.CancelledError) is None:
            self.end(run, "error")
            http.answer_json(run.request, 500, {"error": repr(reason.value)})

    def expire(self, run: _run.Run) -> None:
        """End a run whose deadline has passed."""
        queued = run.state == "queued"
        self.end(run, "late")
        if queued:
            run.request.setHeader(headers.NOT_RUN, "1")
        http.answer_json(run.request, 503 if queued else 504, {"refused": "late"})

    def end(self, run: _run.Run, reason: str) -> None:
        """Remove ``run`` from the queue, or free its slot for the next run."""
        if run.state == "ended":
            return
        self.counters.ends[f"{reason} {run.state}"] += 1
        state, run.state = run.state, "ended"
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        if state == "queued":
            self.waiting.remove(run)
            return
        self.running.discard(run)
        if run.deferred is not None and reason not in ("completed", "nested failure"):
            run.deferred.cancel()
        if self.waiting:
            self.start(self.waiting.popleft())

    def answer_runs(self, request: server.Request) -> None:
        """Answer with the counters."""
        only_repeated = http.read_argument(request, "repeated") == "1"
        report = self.counters.report(only_repeated)
        report |= {"running": len(self.running), "waiting": len(self.waiting)}
        http.answer_json(request, 200, report)

    def answer_health(self, request: server.Request) -> None:
        """Answer with the real health, or with the report that ``health`` fixes."""
        ready = not self.state.draining and len(self.waiting) < self.plan.queue_length
        reported_ready = {"truth": ready, "good": True, "bad": False}[self.state.health]
        load = len(self.running) / self.plan.slots
        load = {"truth": load, "good": 0.0, "bad": 1.0}[self.state.health]
        http.answer_json(
            request,
            200 if reported_ready else 503,
            {"ready": reported_ready, "load": round(load, 3)},
        )

    def set_state(self, request: server.Request) -> None:
        """Replace the state."""
        self.state = self.read(request, _plan.TargetState)
        http.answer_json(request, 200, {})

    def set_paths(self, request: server.Request) -> None:
        """Replace the plans of paths; runs in progress keep theirs."""
        self.paths = dict(self.read(request, dict[str, _plan.PathPlan]))
        http.answer_json(request, 200, {})

    def set_routes(self, request: server.Request) -> None:
        """Replace the addresses of services."""
        shape = dict[str, tuple[settings.Address, ...]]
        self.caller.routes = dict(self.read(request, shape))
        http.answer_json(request, 200, {})

    def read(self, request: server.Request, shape: Any) -> Any:
        """Return the body as ``shape``, or raise ``ValueError``."""
        document = json.loads(http.read_body(request))
        checked = schema.structure(document, shape, codes.ResultCode.BAD_REQUEST)
        if isinstance(checked, result.Err):
            raise ValueError(str(checked.err_value))
        return checked.ok_value
