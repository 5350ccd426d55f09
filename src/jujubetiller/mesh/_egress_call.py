"""One request that entered at this node."""

import functools
from collections.abc import Callable
from typing import Any

import attrs
import logbook
import result

from jujubetiller import calls, codes, edge, retries, routes, routing
from jujubetiller.mesh import (
    _attempt_policy,
    _ingress_call,
    _mesh_parts,
    _replies,
    _request,
)

_Code = codes.ResultCode
_LOG = logbook.Logger("jujubetiller.mesh.request")

LATE_FAILURE = 0.5
"""What an answer beyond the latency objective counts as."""

PATIENCE = 6.0
"""An attempt that takes this many times as long as usual may have lost its answer."""

LEAST_PATIENCE_MS = 150.0

PATIENT_DELAY_MS = 20.0
"""While calls meet longer queues, slow answers are no sign of a loss."""

# Codes of a node that stops or is gone; its instance may live on.
_NODE_IS_AWAY = frozenset((_Code.DRAINING, _Code.PEER_UNREACHABLE))


class EgressCall:
    """Sends a request to instances of its service and answers the client once."""

    __slots__ = (
        "attempts",
        "cancel_attempt",
        "deadline",
        "instance",
        "outcome",
        "queue_delay_ms",
        "parts",
        "patience",
        "reply",
        "request",
        "request_id",
        "route",
        "sent_at_ms",
        "service",
        "started_at_ms",
        "throttle",
        "tried",
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
        self.request = _request.make_request(parts, message, route, self.service)
        self.attempts = _attempt_policy.Attempts(route.idempotent, route.max_attempts)
        self.outcome = retries.RequestOutcome()
        self.instance: routing.RoutableInstance | None = None
        self.throttle = parts.throttles.find(route.name, route.priority_class)
        self.queue_delay_ms = 0.0
        """The longest queueing delay that answers to this request told of."""

        self.tried: tuple[str, ...] = ()
        """The instances that the request was sent to, in order."""

        self.sent_at_ms = 0.0
        self.cancel_attempt: Callable[[], None] | None = None
        self.patience: Any = None
        """The timer after which a silent attempt is given up for another one."""

    def start(self) -> None:
        """Make the first attempt."""
        self.parts.state.requests_under_way += 1
        if not self.throttle.admits():
            self.parts.throttles.refused += 1
            self.finish(calls.make_refusal(_Code.OVERLOADED_DOWNSTREAM))
            return
        self.parts.budget.record_request(self.service)
        self.attempt()

    def attempt(self) -> None:
        """Choose an instance and send the request to it."""
        chosen = self.parts.router.choose(self.service, frozenset(self.tried))
        if isinstance(chosen, result.Err) and self.tried:
            chosen = self.parts.router.choose(self.service)
        if isinstance(chosen, result.Err):
            self.finish(self.outcome.add(calls.make_refusal(chosen.err_value)))
            return
        self.instance = chosen.ok_value
        self.send(chosen.ok_value)

    def send(self, instance: routing.RoutableInstance) -> None:
        """Send the request to the node of ``instance``, or to the own target."""
        self.sent_at_ms = self.parts.clock.now_ms()
        request = self.request
        if self.tried:
            # The send before may still hold its request.
            request = self.request = attrs.evolve(request)
        self.tried = (*self.tried, instance.instance)
        request.attempt = len(self.tried)
        request.expected_instance = instance.instance
        request.deadline_left_ms = self.deadline.at_ms - self.sent_at_ms
        self.parts.router.record_sent(instance)
        self.arm_patience()
        answered = functools.partial(self.attempt_answered, request.attempt)
        own = self.parts.directory.own
        if own is not None and own.instance == instance.instance:
            local = _ingress_call.IngressCall(self.parts, request, answered)
            self.cancel_attempt = local.cancel
            local.begin()
            return
        outgoing = self.parts.pool.send_call(
            instance.address, request, self.deadline, answered
        )
        self.cancel_attempt = outgoing.cancel

    def arm_patience(self) -> None:
        """Watch for an attempt whose answer may be lost, if it could be repeated."""
        if not self.attempts.may_follow_up():
            return
        usual_ms = self.parts.router.average_ms(self.service, self.route.name)
        if usual_ms is None:
            return
        patience_ms = max(LEAST_PATIENCE_MS, PATIENCE * usual_ms)
        if patience_ms + usual_ms < self.deadline.left_ms(self.parts.clock):
            self.patience = self.parts.reactor.callLater(
                patience_ms / 1000.0, self.lose_patience
            )

    def lose_patience(self) -> None:
        """Give up a silent attempt for another instance, unless queues explain it."""
        self.patience = None
        cancel = self.cancel_attempt
        if cancel is None or self.parts.delays.read() > PATIENT_DELAY_MS:
            return
        if self.parts.state.draining:
            # A stop must not break off what an instance may be at work on.
            return
        if not self.parts.router.has_alternative(self.service, frozenset(self.tried)):
            return
        if not self.parts.budget.may_repeat(self.service):
            return
        self.cancel_attempt = None
        cancel()
        self.answered(calls.make_refusal(_Code.ANSWER_OVERDUE))

    def disarm_patience(self) -> None:
        """Stop to watch the attempt, which has ended."""
        patience, self.patience = self.patience, None
        if patience is not None:
            patience.cancel()

    def attempt_answered(self, number: int, answer: calls.CallAnswer) -> None:
        """Take in the end of attempt ``number``.

        The pool reports a call that was cancelled in a later turn, when the next
        attempt may be under way.
        """
        if number == len(self.tried) and self.cancel_attempt is not None:
            self.answered(answer)

    def answered(self, answer: calls.CallAnswer) -> None:
        """Take in the end of an attempt, then finish or send again."""
        instance = self.instance
        if self.reply is None or instance is None:
            return
        self.cancel_attempt = None
        self.disarm_patience()
        self.tell_router(instance, answer)
        self.parts.delays.record(answer.queue_delay_ms)
        self.queue_delay_ms = max(self.queue_delay_ms, answer.queue_delay_ms)
        if answer.code is _Code.ANSWERED:
            self.throttle.exempt = answer.is_nested
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
        self.attempt()

    def tell_router(
        self, instance: routing.RoutableInstance, answer: calls.CallAnswer
    ) -> None:
        """Let the router learn how the attempt ended."""
        took_ms = self.parts.clock.now_ms() - self.sent_at_ms
        if answer.code in _NODE_IS_AWAY:
            # The node may come back while its instance lives on.
            away = calls.make_refusal(_Code.PEER_UNREACHABLE)
            self.parts.router.record_answer(instance, away, took_ms)
            self.parts.router.mark_unreachable(instance)
            self.parts.prober.watch(instance)
            return
        self.parts.router.record_answer(instance, answer, took_ms, self.route.name)

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
        if self.tried:
            failure = self.rate_failure(edge_reply.status, took_ms)
            self.throttle.record(failure, self.queue_delay_ms)
        reply(edge_reply)

    def rate_failure(self, status: int, took_ms: float) -> float:
        """Return 1 for a failure, a part of it for a late answer, else 0."""
        if status >= calls.LOWEST_FAILURE_STATUS:
            return 1.0
        return LATE_FAILURE * (took_ms > self.route.latency_objective_ms)

    def log_end(self, answer: calls.CallAnswer, status: int, took_ms: float) -> None:
        """Write what decided, unless all went well within the objective."""
        if (
            status < calls.LOWEST_FAILURE_STATUS
            and len(self.tried) == 1
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
                "sends": len(self.tried),
                "arrivals": self.attempts.arrivals,
                "instances": self.tried,
                "took_ms": round(took_ms, 1),
                "queue_delay_ms": round(self.queue_delay_ms, 1),
                "admitted_share": round(self.throttle.share, 2),
                "left_ms": round(self.deadline.left_ms(self.parts.clock), 1),
                "version": self.parts.configuration.version,
            },
        )

    def cancel(self) -> None:
        """Stop the request of a client that went away."""
        if self.reply is None:
            return
        self.reply = None
        self.disarm_patience()
        self.parts.state.requests_under_way -= 1
        if self.instance is not None:
            self.parts.router.record_answer(
                self.instance,
                calls.make_refusal(_Code.CANCELLED_WHILE_RUNNING),
                self.parts.clock.now_ms() - self.sent_at_ms,
            )
        if self.cancel_attempt is not None:
            self.cancel_attempt()
