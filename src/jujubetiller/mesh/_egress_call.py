"""One request that entered at this node."""

from collections.abc import Callable

import attrs
import logbook
import result

from jujubetiller import calls, codes, edge, limits, retries, routes, routing
from jujubetiller.mesh import _attempt_policy, _ingress_call, _mesh_parts, _replies

_Code = codes.ResultCode
_LOG = logbook.Logger("jujubetiller.mesh.request")
_LOWEST_FAILURE_STATUS = 500

# Codes of a node that stops or is gone; its instance may live on.
_NODE_IS_AWAY = frozenset((_Code.DRAINING, _Code.PEER_UNREACHABLE))


class EgressCall:
    """Sends a request to instances of its service and answers the client once."""

    __slots__ = (
        "attempts",
        "cancel_attempt",
        "deadline",
        "excluded",
        "instance",
        "message",
        "outcome",
        "parts",
        "reply",
        "request",
        "request_id",
        "route",
        "sent_at_ms",
        "service",
        "started_at_ms",
    )

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        message: edge.EdgeMessage,
        route: routes.Route,
        deadline: calls.Deadline,
        reply: Callable[[edge.EdgeReply], None],
    ) -> None:
        self.parts = parts
        self.route = route
        self.deadline = deadline
        self.reply: Callable[[edge.EdgeReply], None] | None = reply
        self.started_at_ms = parts.clock.now_ms()
        self.service = parts.configuration.choose_service(route)
        self.request_id = message.control.get(parts.headers.request_id, "")
        self.request = make_request(parts, message, route, self.service)
        self.attempts = _attempt_policy.Attempts(route.idempotent, route.max_attempts)
        self.outcome = retries.RequestOutcome()
        self.excluded: frozenset[str] = frozenset()
        self.instance: routing.RoutableInstance | None = None
        self.sent_at_ms = 0.0
        self.cancel_attempt: Callable[[], None] | None = None

    def start(self) -> None:
        """Make the first attempt."""
        self.parts.state.requests_under_way += 1
        self.parts.budget.record_request(self.service)
        self.attempt()

    def attempt(self) -> None:
        """Choose an instance and send the request to it."""
        chosen = self.parts.router.choose(self.service, self.excluded)
        if isinstance(chosen, result.Err) and self.excluded:
            chosen = self.parts.router.choose(self.service)
        if isinstance(chosen, result.Err):
            self.finish(self.outcome.add(calls.make_refusal(chosen.err_value)))
            return
        self.instance = chosen.ok_value
        self.send(chosen.ok_value)

    def send(self, instance: routing.RoutableInstance) -> None:
        """Send the request to the node of ``instance``, or to the own target."""
        self.sent_at_ms = self.parts.clock.now_ms()
        request = attrs.evolve(
            self.request,
            expected_instance=instance.instance,
            deadline_left_ms=self.deadline.at_ms - self.sent_at_ms,
            attempt=self.request.attempt,
        )
        self.request.attempt += 1
        self.parts.router.sent(instance)
        own = self.parts.directory.own()
        if own is not None and own.instance == instance.instance:
            local = _ingress_call.IngressCall(self.parts, request, self.answered)
            self.cancel_attempt = local.cancel
            local.begin()
            return
        outgoing = self.parts.pool.send_call(
            instance.address, request, self.deadline, self.answered
        )
        self.cancel_attempt = outgoing.cancel

    def answered(self, answer: calls.CallAnswer) -> None:
        """Take in the end of an attempt, then finish or send again."""
        instance = self.instance
        if self.reply is None or instance is None:
            return
        self.cancel_attempt = None
        self.tell_router(instance, answer)
        self.instance = None
        report = self.outcome.add(answer)
        left_ms = self.deadline.left_ms(self.parts.clock)
        step = self.attempts.decide(answer, left_ms)
        if step is _attempt_policy.NextStep.REPEAT and not (
            self.parts.budget.try_repeat(self.service)
        ):
            step = _attempt_policy.NextStep.FINISH
        if step is _attempt_policy.NextStep.FINISH:
            self.finish(report)
            return
        self.parts.metrics.count_retry(f"{step.value}_{answer.code.name.lower()}")
        self.excluded |= {instance.instance}
        self.attempt()

    def tell_router(
        self, instance: routing.RoutableInstance, answer: calls.CallAnswer
    ) -> None:
        """Let the router learn how the attempt ended."""
        took_ms = self.parts.clock.now_ms() - self.sent_at_ms
        if answer.code in _NODE_IS_AWAY:
            # The node may come back while its instance lives on.
            away = calls.make_refusal(_Code.PEER_UNREACHABLE)
            self.parts.router.answered(instance, away, took_ms)
            self.parts.router.unreachable(instance)
            return
        self.parts.router.answered(instance, answer, took_ms, self.route.name)

    def finish(self, answer: calls.CallAnswer) -> None:
        """Answer the client."""
        reply, self.reply = self.reply, None
        if reply is None:
            return
        self.parts.state.requests_under_way -= 1
        edge_reply = _replies.render_answer(answer, self.parts.random)
        took_ms = self.parts.clock.now_ms() - self.started_at_ms
        self.parts.metrics.observe_call(took_ms)
        self.parts.metrics.count_outcome(
            self.route.name, self.route.priority_class, answer.outcome
        )
        self.parts.metrics.count_refusal(answer.code.value)
        self.log_end(answer, edge_reply.status, took_ms)
        reply(edge_reply)

    def log_end(self, answer: calls.CallAnswer, status: int, took_ms: float) -> None:
        """Write what decided, unless all went well within the objective."""
        if (
            status < _LOWEST_FAILURE_STATUS
            and self.request.attempt == 2
            and took_ms <= self.route.latency_objective_ms
        ):
            return
        _LOG.info(
            "request ended: {}",
            answer.code.name,
            extra={
                "request": self.request_id,
                "route": self.route.name,
                "service": self.service,
                "code": answer.code.value,
                "status": status,
                "sends": self.request.attempt - 1,
                "arrivals": self.attempts.arrivals,
                "excluded": sorted(self.excluded),
                "took_ms": round(took_ms, 1),
                "left_ms": round(self.deadline.left_ms(self.parts.clock), 1),
                "version": self.parts.configuration.version,
            },
        )

    def cancel(self) -> None:
        """Stop the request of a client that went away."""
        if self.reply is None:
            return
        self.reply = None
        self.parts.state.requests_under_way -= 1
        if self.instance is not None:
            self.parts.router.answered(
                self.instance,
                calls.make_refusal(_Code.CANCELLED_WHILE_RUNNING),
                self.parts.clock.now_ms() - self.sent_at_ms,
            )
        if self.cancel_attempt is not None:
            self.cancel_attempt()


def make_request(
    parts: _mesh_parts.MeshParts,
    message: edge.EdgeMessage,
    route: routes.Route,
    service: str,
) -> calls.CallRequest:
    """Return the call of a request, with the headers for the instance."""
    names = parts.headers
    own = (names.deadline_ms, names.expected_instance, names.caller_service)
    passed = [pair for pair in message.control.items() if pair[0] not in own]
    request_id = message.control.get(names.request_id, "")
    return calls.CallRequest(
        service=service,
        method=message.method,
        path=message.path,
        kind=route.name,
        priority_class=route.priority_class,
        rank=limits.compute_rank(route.priority_class, request_id),
        idempotent=route.idempotent,
        deadline_left_ms=0.0,
        retry_tokens=0,
        tree_id="",
        depth=0,
        attempt=1,
        headers=(
            *message.headers,
            *passed,
            (names.caller_service, parts.settings.service),
        ),
        body=message.body,
    )
