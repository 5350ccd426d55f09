"""One call for the node's own target."""

from collections.abc import Callable

from jujubetiller import calls, codes, crashes, limits, notices, target
from jujubetiller.mesh import _mesh_parts

_Code = codes.ResultCode

SUCCESS_STATUSES = range(200, 300)
MISDIRECTED_STATUS = 421
MIN_DEADLINE_MS = 1

ANSWER_MARGIN_MS = 25.0
"""A queued call is refused this long before its deadline, so that its entry node is
still informed that it did not run."""

MIN_SHED_DELAY_MS = 100.0
"""The minimum queueing delay that is recorded for a shed call."""

# Codes of responses that the expected instance itself has given.
_CODES_OF_OWN_TARGET = frozenset((_Code.ANSWERED, _Code.TARGET_SHED))


class IngressCall:
    """Runs one call at the target and replies once."""

    __slots__ = (
        "contained",
        "deadline",
        "entry",
        "parts",
        "reply",
        "request",
        "starts_by_ms",
        "target_call",
    )

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        request: calls.CallRequest,
        reply: Callable[[calls.CallAnswer], None],
    ) -> None:
        self.parts = parts
        self.request = request
        self.reply: Callable[[calls.CallAnswer], None] | None = reply
        self.deadline = calls.Deadline.after(parts.clock, request.deadline_left_ms)
        self.starts_by_ms: float | None = None
        """When the call must have started, on the clock of the age of keys."""

        if request.start_within_ms is not None:
            self.starts_by_ms = parts.state_age.now_ms() + request.start_within_ms
        self.target_call: target.TargetCall | None = None
        self.contained: crashes.SuspectCall | None = None
        """The call as the containment of crashes sees it."""

        self.entry = limits.GuardEntry(
            rank=request.rank,
            depth=max(request.depth, self.is_nested_at_limit()),
            deadline=calls.Deadline(self.deadline.at_ms - ANSWER_MARGIN_MS),
            start=self.start,
            refuse=self.refuse,
            kind=request.kind,
            team=request.team,
            is_nested=parts.admission is not None and self.is_nested(),
        )

    def begin(self) -> None:
        """Start, queue or refuse the call."""
        code = self.find_refusal()
        if code is not None:
            self.refuse(code)
            return
        caller = find_header(self.request.headers, self.parts.headers.caller_service)
        self.parts.callers.record(self.request.kind, caller or "")
        self.parts.notices.adopt_limit(
            self.request.expected_instance, self.request.rate_limit_per_s
        )
        containment = self.parts.containment
        if containment.is_idle():
            self.enter_guard()
            return
        self.contained = containment.make_call(
            self.request, self.entry.deadline, self.enter_guard, self.refuse
        )
        containment.submit(self.contained)

    def find_refusal(self) -> codes.ResultCode | None:
        """Return why the call must not start here now, or None."""
        if self.must_run_elsewhere():
            return _Code.DRAINING
        starts_by_ms = self.starts_by_ms
        if starts_by_ms is None or self.parts.state_age.now_ms() < starts_by_ms:
            return None
        return self.parts.keys.refuse_late_start()

    def must_run_elsewhere(self) -> bool:
        """Return whether the instance leaves, or the node stops too soon for the call.

        This may change while the call waits, so it is checked again at its start.
        """
        if self.parts.is_leaving(self.request.expected_instance):
            return True
        needed_ms = _mesh_parts.FINISH_FACTOR * self.parts.guard.mean_run_ms
        return not self.parts.can_finish(needed_ms)

    def enter_guard(self) -> None:
        """Submit the call to the guard, which starts or queues it."""
        self.parts.guard.submit(self.entry)
        if self.parts.guard.queue_length:
            self.parts.guard_timer.arm()

    def start(self) -> None:
        """Send the call to the target, unless it has to run elsewhere by now."""
        code = self.find_refusal()
        if code is not None:
            self.parts.guard.abandoned(self.entry)
            self.refuse(code)
            return
        self.parts.delays.record(self.entry.wait_ms)
        request = self.request
        names = self.parts.headers
        request_id = find_header(request.headers, names.request_id)
        left_ms = max(MIN_DEADLINE_MS, int(self.deadline.left_ms(self.parts.clock)))
        headers = (
            *request.headers,
            (names.deadline_ms, str(left_ms)),
            (names.expected_instance, request.expected_instance),
            *(((names.team, request.team),) if request.team else ()),
        )
        self.target_call = self.parts.target.send(
            target.TargetRequest(
                method=request.method,
                path=request.path,
                headers=headers,
                body=request.body,
                deadline=self.deadline,
                echo=None if request_id is None else (names.request_id, request_id),
            ),
            self.target_ended,
        )

    def target_ended(self, response: target.TargetResponse) -> None:
        """Free the guard's slot and answer with the target's response."""
        code = self.classify(response)
        self.record_notices(code, response)
        self.entry.was_shed = code is _Code.TARGET_SHED
        self.entry.has_failed = response.status >= calls.LOWEST_FAILURE_STATUS
        self.parts.guard.finished(self.entry, code is _Code.ANSWERED)
        if code is _Code.TARGET_CLOSED_EARLY:
            self.report_lost()
            return
        answer = calls.CallAnswer(
            outcome=codes.describe(code).outcome,
            code=code,
        )
        if code is _Code.ANSWERED:
            answer.status = response.status
            answer.headers = response.headers
            answer.body = response.body
        self.answer_with(answer)

    def report_lost(self) -> None:
        """Have the watch find out whether the target has ended, and answer then."""
        if self.parts.state.draining:
            # The node itself ends its calls, and it stops before a probe could end.
            self.lost(False)
            return
        request_id = find_header(self.request.headers, self.parts.headers.request_id)
        self.parts.watch.record_lost(
            crashes.LostCall(
                self.request, request_id or "", self.entry.started_at_ms, self.lost
            )
        )

    def lost(self, target_has_ended: bool) -> None:
        """Answer a call whose connection broke."""
        code = _Code.TARGET_CRASHED if target_has_ended else _Code.TARGET_CLOSED_EARLY
        self.answer_with(calls.make_refusal(code))

    def record_notices(
        self, code: codes.ResultCode, response: target.TargetResponse
    ) -> None:
        """Record what the target states about itself in its response.

        A response of another instance at the address, or one that does not repeat the
        request's id, says nothing about this one.
        """
        if code not in _CODES_OF_OWN_TARGET:
            return
        instance = self.request.expected_instance
        recorder = self.parts.notices
        read = notices.read_notices(response.headers, recorder.names)
        if recorder.is_known(instance, read):
            return
        request_id = self.parts.headers.request_id
        sent_id = find_header(self.request.headers, request_id)
        if sent_id is None or find_header(response.headers, request_id) != sent_id:
            return
        recorder.record(
            instance, read, self.entry.started_at_ms, has_run=code is _Code.ANSWERED
        )

    def classify(self, response: target.TargetResponse) -> codes.ResultCode:
        """Return the result code, which says whether the target ran the request."""
        if response.code is not _Code.ANSWERED:
            return response.code
        if response.status not in calls.FINAL_STATUSES:
            return _Code.ANSWER_INCOMPLETE
        if find_header(response.headers, self.parts.headers.not_run) is not None:
            if response.status == MISDIRECTED_STATUS:
                return _Code.WRONG_SERVICE
            return _Code.TARGET_SHED
        if response.status == MISDIRECTED_STATUS:
            return _Code.WRONG_SERVICE
        server_stamp = find_header(response.headers, self.parts.headers.server_stamp)
        if server_stamp is None and response.status in SUCCESS_STATUSES:
            return _Code.ANSWER_INCOMPLETE
        return _Code.ANSWERED

    def refuse(self, code: codes.ResultCode) -> None:
        """End the call after the guard has refused it."""
        if code in limits.SHED_CODES:
            self.parts.delays.record(max(self.entry.wait_ms, MIN_SHED_DELAY_MS))
        self.answer_with(calls.make_refusal(code))

    def answer_with(self, answer: calls.CallAnswer) -> None:
        """Send the answer, unless the call was answered or cancelled before."""
        reply, self.reply = self.reply, None
        self.entry.drop_callbacks()
        self.parts.containment.record_end(
            self.contained, self.request, answer.code is _Code.ANSWERED
        )
        if reply is not None:
            answer.queue_delay_ms = self.parts.delays.read()
            answer.is_nested = self.is_nested()
            if self.parts.settings.features.placing == "room":
                report = limits.read_room(self.parts.guard)
                answer.room, answer.wait_ms = report.room, report.wait_ms
            if self.parts.admission is not None:
                self.parts.admission.add_to_answer(self.request.kind, answer)
            self.parts.notices.add_to_answer(self.request.expected_instance, answer)
            reply(answer)

    def is_nested_at_limit(self) -> bool:
        """Return ``is_nested`` while the target names a rate limit, else False."""
        return self.parts.guard.rate_limit.per_s is not None and self.is_nested()

    def is_nested(self) -> bool:
        """Return whether calls of this kind are sent by instances, not by clients."""
        return self.parts.callers.is_nested(
            self.request.kind, self.parts.directory.service_count
        )

    def cancel(self) -> None:
        """Cancel the call because its caller no longer waits."""
        self.reply = None
        if self.contained is not None:
            self.parts.containment.cancel(self.contained)
        if not self.parts.guard.cancel(self.entry) and self.target_call is not None:
            self.target_call.cancel()
            self.parts.guard.abandoned(self.entry)
        self.entry.drop_callbacks()


def find_header(headers: tuple[tuple[str, str], ...], name: str) -> str | None:
    """Return the value of the first header ``name``, which must be in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
