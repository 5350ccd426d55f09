"""One request that a client sent to this node."""

import functools
from collections.abc import Callable
from typing import Any

import attrs
import result

from jujubetiller import calls, codes, edge, retries, routes, routing
from jujubetiller.mesh import (
    _attempt_policy,
    _call_reports,
    _ingress_call,
    _mesh_parts,
    _replies,
    _request,
    _request_log,
)

_Code = codes.ResultCode

OVERDUE_FACTOR = 6.0
"""After this many times the usual duration, an attempt's answer may be lost."""

MIN_OVERDUE_MS = 150.0

MAX_OVERDUE_QUEUE_DELAY_MS = 20.0
"""With longer queueing delays, a slow answer does not indicate a lost one."""

_NO_INSTANCE = result.Err(_Code.NO_INSTANCE)

RATE_LIMITED_DELAY_MS = 100.0
"""The queueing delay that is recorded for a request that no instance had room for."""


class EgressCall:
    """Sends a request to one instance after another and answers the client once."""

    __slots__ = (
        "attempts",
        "cancel_attempt",
        "deadline",
        "failed_answer",
        "instance",
        "outcome",
        "queue_delay_ms",
        "parts",
        "overdue_timer",
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
        self.failed_answer: calls.CallAnswer | None = None
        """The latest failure that an instance answered; its request has run."""

        self.instance: routing.RoutableInstance | None = None
        self.throttle = parts.throttles.find(route.name, route.priority_class)
        self.queue_delay_ms = 0.0
        """The longest queueing delay that answers to this request reported."""

        self.tried: tuple[str, ...] = ()
        """The instances that the request was sent to, in order."""

        self.sent_at_ms = 0.0
        self.cancel_attempt: Callable[[], None] | None = None
        self.overdue_timer: Any = None
        """The timer after which an unanswered attempt is retried."""

    def start(self) -> None:
        """Make the first attempt, unless the route's throttle refuses the request."""
        self.parts.state.requests_under_way += 1
        if not self.parts.can_finish_request(self.service, self.route):
            self.finish(calls.make_refusal(_Code.DRAINING))
            return
        if not self.throttle.admits():
            self.parts.throttles.refused += 1
            self.finish(calls.make_refusal(_Code.OVERLOADED_DOWNSTREAM))
            return
        self.parts.budget.record_request(self.service)
        self.attempt()

    def attempt(self, may_repeat: bool = True) -> None:
        """Choose an instance and send the request to it.

        If it was sent to all instances, one of them is chosen again, unless
        ``may_repeat`` is false.
        """
        choose = functools.partial(
            self.parts.router.choose, self.service, urgent=self.is_urgent()
        )
        chosen = choose(exclude=frozenset(self.tried))
        if chosen == _NO_INSTANCE and self.tried and may_repeat:
            chosen = choose()
        if isinstance(chosen, result.Err):
            self.finish(self.outcome.add(calls.make_refusal(chosen.err_value)))
            return
        self.instance = chosen.ok_value
        self.send(chosen.ok_value)

    def is_urgent(self) -> bool:
        """Return whether the request goes before others when instances lack room."""
        return self.route.priority_class == 0 or self.throttle.exempt

    def send(self, instance: routing.RoutableInstance) -> None:
        """Send the request to the node of ``instance``, or to this node's target."""
        self.sent_at_ms = self.parts.clock.now_ms()
        request = self.request
        if self.tried:
            # The previous attempt may still use its request object.
            request = self.request = attrs.evolve(request)
        self.tried = (*self.tried, instance.instance)
        request.attempt = len(self.tried)
        request.expected_instance = instance.instance
        request.deadline_left_ms = self.deadline.at_ms - self.sent_at_ms
        request.rate_limit_per_s = self.parts.router.known_rate_limit(instance)
        self.parts.router.record_sent(instance)
        self.start_overdue_timer()
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

    def start_overdue_timer(self) -> None:
        """Start the timer that detects a lost answer, if a retry is possible."""
        if not self.attempts.may_retry_unanswered():
            return
        usual_ms = self.parts.router.average_ms(self.service, self.route.name)
        if usual_ms is None:
            return
        overdue_ms = max(MIN_OVERDUE_MS, OVERDUE_FACTOR * usual_ms)
        if overdue_ms + usual_ms < self.deadline.left_ms(self.parts.clock):
            self.overdue_timer = self.parts.reactor.callLater(
                overdue_ms / 1000.0, self.retry_overdue
            )

    def retry_overdue(self) -> None:
        """Cancel an unanswered attempt and retry, unless queues explain the delay."""
        self.overdue_timer = None
        cancel = self.cancel_attempt
        if cancel is None or self.parts.delays.read() > MAX_OVERDUE_QUEUE_DELAY_MS:
            return
        if self.parts.state.draining:
            # A planned stop must not cancel a request that a target may be running.
            return
        if not self.parts.router.has_alternative(self.service, frozenset(self.tried)):
            return
        if not self.parts.budget.may_retry(self.service):
            return
        self.cancel_attempt = None
        cancel()
        self.answered(calls.make_refusal(_Code.ANSWER_OVERDUE))

    def cancel_overdue_timer(self) -> None:
        """Cancel the timer of an attempt that has ended."""
        overdue_timer, self.overdue_timer = self.overdue_timer, None
        if overdue_timer is not None:
            overdue_timer.cancel()

    def attempt_answered(self, number: int, answer: calls.CallAnswer) -> None:
        """Handle the answer to attempt ``number``, unless that attempt is over.

        The pool reports a cancelled call in a later turn of the event loop, when
        the next attempt may already be under way.
        """
        if number == len(self.tried) and self.cancel_attempt is not None:
            self.answered(answer)

    def answered(self, answer: calls.CallAnswer) -> None:
        """Record the end of the attempt, then finish, reroute or retry."""
        instance = self.instance
        if self.reply is None or instance is None:
            return
        self.cancel_attempt = None
        self.cancel_overdue_timer()
        took_ms = self.parts.clock.now_ms() - self.sent_at_ms
        _call_reports.report_attempt(
            self.parts, instance, answer, took_ms, self.route.name
        )
        self.parts.delays.record(answer.queue_delay_ms)
        self.queue_delay_ms = max(self.queue_delay_ms, answer.queue_delay_ms)
        if answer.code is _Code.ANSWERED:
            self.throttle.exempt = answer.is_nested
            self.failed_answer = answer
        self.instance = None
        report = self.outcome.add(answer)
        left_ms = self.deadline.left_ms(self.parts.clock)
        step = self.attempts.decide(answer, left_ms)
        if step is _attempt_policy.NextStep.RETRY and not (
            self.parts.budget.try_acquire(self.service)
        ):
            step = _attempt_policy.NextStep.FINISH
        if step is _attempt_policy.NextStep.FINISH:
            self.finish(report)
            return
        self.parts.metrics.count_retry(f"{step.value}_{answer.code.name.lower()}")
        self.attempt(may_repeat=answer.code is not _Code.RATE_LIMITED)

    def finish(self, answer: calls.CallAnswer) -> None:
        """Answer the client."""
        reply, self.reply = self.reply, None
        if reply is None:
            return
        self.parts.state.requests_under_way -= 1
        if answer.outcome is codes.Outcome.NOT_RUN and self.failed_answer is not None:
            # The retry did not run, but an earlier attempt did.
            answer = self.failed_answer
        if answer.code is _Code.RATE_LIMITED:
            # The service lacks room although no call waits: entry nodes of requests
            # that need it are to admit fewer.
            self.parts.delays.record(RATE_LIMITED_DELAY_MS)
        edge_reply = _replies.render_answer(answer, self.parts.random)
        took_ms = self.parts.clock.now_ms() - self.started_at_ms
        self.parts.metrics.observe_call(took_ms)
        self.parts.metrics.count_outcome(
            self.route.name, self.route.priority_class, answer.outcome
        )
        self.parts.metrics.count_refusal(answer.code.value)
        self.log_unless_usual(answer, edge_reply.status, took_ms)
        if self.tried and _call_reports.shows_load(answer.code):
            failure = _call_reports.weigh_failure(
                edge_reply.status, took_ms, self.route.latency_objective_ms
            )
            self.throttle.record(failure, self.queue_delay_ms)
        reply(edge_reply)

    def log_unless_usual(
        self, answer: calls.CallAnswer, status: int, took_ms: float
    ) -> None:
        """Log the end, unless the first attempt succeeded within the objective."""
        is_late = took_ms > self.route.latency_objective_ms
        is_failure = status >= calls.LOWEST_FAILURE_STATUS
        if len(self.tried) == 1 and not is_late and not is_failure:
            return
        _request_log.log_end(
            _request_log.RequestEnd(
                request=self.request_id,
                route=self.route.name,
                service=self.service,
                answer=answer,
                status=status,
                arrivals=self.attempts.arrivals,
                instances=self.tried,
                took_ms=took_ms,
                left_ms=self.deadline.left_ms(self.parts.clock),
                queue_delay_ms=self.queue_delay_ms,
                admitted_share=self.throttle.share,
                version=self.parts.configuration.version,
            )
        )

    def cancel(self) -> None:
        """Cancel the request after its client has disconnected."""
        if self.reply is None:
            return
        self.reply = None
        self.cancel_overdue_timer()
        self.parts.state.requests_under_way -= 1
        if self.instance is not None:
            self.parts.router.record_answer(
                self.instance,
                calls.make_refusal(_Code.CANCELLED_WHILE_RUNNING),
                self.parts.clock.now_ms() - self.sent_at_ms,
            )
        if self.cancel_attempt is not None:
            self.cancel_attempt()
