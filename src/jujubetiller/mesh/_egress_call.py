"""One request that a client sent to this node."""

import functools
from collections.abc import Callable

import attrs
import result

from jujubetiller import (
    calls,
    codes,
    congestion,
    edge,
    quotas,
    retries,
    routes,
    routing,
)
from jujubetiller.mesh import (
    _attempt_policy,
    _call_reports,
    _entry_decision,
    _ingress_call,
    _key_check,
    _mesh_parts,
    _overdue_timer,
    _replies,
    _request,
    _request_end,
    _retry_pause,
)

_Code = codes.ResultCode

_NO_INSTANCE = result.Err(_Code.NO_INSTANCE)


class EgressCall:
    """Sends a request to one instance after another and answers the client once."""

    __slots__ = (
        "attempts",
        "cancel_attempt",
        "deadline",
        "failed_answer",
        "holder",
        "instance",
        "outcome",
        "queue_delay_ms",
        "parts",
        "quota_token",
        "overdue_timer",
        "reply",
        "request",
        "request_id",
        "retry_after_ms",
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
        throttle: congestion.RouteThrottle,
        holder: _key_check.KeyHolder | None = None,
    ) -> None:
        self.parts = parts
        self.holder = holder
        self.route = route
        self.deadline = deadline
        self.reply: Callable[[edge.EdgeReply], None] | None = reply
        self.started_at_ms = parts.clock.now_ms()
        self.service = parts.configuration.choose_service(route)
        self.request_id = message.control.get(parts.headers.request_id, "")
        team = None if holder is None else holder.team
        self.request = _request.make_request(parts, message, route, self.service, team)
        self.attempts = _attempt_policy.Attempts(route.idempotent, route.max_attempts)
        self.outcome = retries.RequestOutcome()
        self.failed_answer: calls.CallAnswer | None = None
        """The latest failure that an instance answered; its request has run."""

        self.instance: routing.RoutableInstance | None = None
        self.throttle = throttle
        self.queue_delay_ms = 0.0
        """The longest queueing delay that answers to this request reported."""

        self.tried: tuple[str, ...] = ()
        """The instances that the request was sent to, in order."""

        self.quota_token: quotas.Token | None = None
        self.retry_after_ms: float | None = None
        """Time until tokens are expected, for a request that the quota refuses."""

        self.sent_at_ms = 0.0
        self.cancel_attempt: Callable[[], None] | None = None
        self.overdue_timer = _overdue_timer.OverdueTimer(parts)

    def start(self) -> None:
        """Make the first attempt, unless the node stops or the quota refuses it."""
        self.parts.state.requests_under_way += 1
        if not self.parts.can_finish_request(self.service, self.route, self.deadline):
            self.finish(calls.make_refusal(_Code.DRAINING))
            return
        drop = self.parts.quota.acquire(
            self.request.team, self.request_id, self.admitted, self.refused
        )
        if drop is not None:
            self.cancel_attempt = drop

    def admitted(self, token: quotas.Token | None) -> None:
        """Make the first attempt, with the token that the request has used."""
        self.cancel_attempt, self.quota_token = None, token
        self.parts.budget.record_request(self.service)
        self.attempt()

    def refused(self, retry_after_ms: float) -> None:
        """Refuse the request for its team's quota."""
        self.cancel_attempt, self.retry_after_ms = None, retry_after_ms
        self.finish(calls.make_refusal(_Code.QUOTA_EXCEEDED))

    def attempt(self, may_repeat: bool = True) -> None:
        """Choose an instance and send the request to it.

        If it was sent to all instances, one of them is chosen again, unless
        ``may_repeat`` is false.
        """
        code = self.parts.keys.check_again(
            self.parts.configuration.current, self.holder
        )
        if code is not None:
            version = self.parts.configuration.version
            self.parts.keys.log_refusal(self.request_id, self.route.name, code, version)
            self.finish(self.outcome.add(calls.make_refusal(code)))
            return
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
        return self.request.priority_class == 0 or self.throttle.exempt

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
        request.start_within_ms = self.parts.keys.start_within_ms(self.holder)
        request.rate_limit_per_s = self.parts.router.known_rate_limit(instance)
        self.parts.router.record_sent(instance)
        if self.attempts.may_retry_unanswered():
            self.overdue_timer.start(
                self.service, self.route.name, self.deadline, self.retry_overdue
            )
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

    def retry_overdue(self) -> None:
        """Cancel an unanswered attempt and retry it, if another instance may."""
        cancel = self.cancel_attempt
        if cancel is None:
            return
        if not self.parts.router.has_alternative(self.service, frozenset(self.tried)):
            return
        if not self.parts.budget.may_retry(self.service):
            return
        self.cancel_attempt = None
        cancel()
        self.answered(calls.make_refusal(_Code.ANSWER_OVERDUE))

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
        self.overdue_timer.cancel()
        took_ms = self.parts.clock.now_ms() - self.sent_at_ms
        _call_reports.report_attempt(
            self.parts, instance, answer, took_ms, self.route.name
        )
        self.parts.delays.record(answer.queue_delay_ms)
        self.queue_delay_ms = max(self.queue_delay_ms, answer.queue_delay_ms)
        _entry_decision.record_answer(self.parts, self.throttle, self.request, answer)
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
        if answer.outcome is codes.Outcome.NOT_RUN and self.quota_token is not None:
            self.parts.quota.give_back(self.quota_token)
        edge_reply = _replies.render_answer(
            answer, self.parts.random, _retry_pause.RetryPause(self.retry_after_ms)
        )
        _request_end.report_end(
            self.parts, self.throttle, self.summarize(), answer, edge_reply.status
        )
        reply(edge_reply)

    def summarize(self) -> _request_end.RequestSummary:
        """Return the request as it stands now."""
        return _request_end.RequestSummary(
            request_id=self.request_id,
            route=self.route,
            service=self.service,
            tried=self.tried,
            arrivals=self.attempts.arrivals,
            took_ms=self.parts.clock.now_ms() - self.started_at_ms,
            left_ms=self.deadline.left_ms(self.parts.clock),
            queue_delay_ms=self.queue_delay_ms,
            admitted_share=_entry_decision.admitted_share(
                self.parts, self.throttle, self.route.name, self.request.team
            ),
        )

    def cancel(self) -> None:
        """Cancel the request after its client has disconnected."""
        if self.reply is None:
            return
        self.reply = None
        self.overdue_timer.cancel()
        self.parts.state.requests_under_way -= 1
        if self.instance is not None:
            self.parts.router.record_answer(
                self.instance,
                calls.make_refusal(_Code.CANCELLED_WHILE_RUNNING),
                self.parts.clock.now_ms() - self.sent_at_ms,
            )
        cancel_attempt, self.cancel_attempt = self.cancel_attempt, None
        if cancel_attempt is not None:
            cancel_attempt()
