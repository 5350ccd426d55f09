"""The way of one call through containment and guard to the node's own target."""

from collections.abc import Callable

import result

from jujubetiller import (
    calls,
    codes,
    crashes,
    edge,
    limits,
    notices,
    records,
    retries,
    target,
)
from jujubetiller.node import _node_parts, _run_answer, _target_headers

_Code = codes.ResultCode
_WAITING = crashes.SuspectState.WAITING


class TargetRun:
    """Starts one call at the target and reports how it ended, unless it is cancelled.

    ``make_hop`` returns the hop record for a rule and a code. ``refused`` is called
    with the code and the rule if the call is not sent to the target, ``ended`` with its
    answer if it was.
    """

    __slots__ = (
        "contained",
        "context",
        "deadline",
        "ended",
        "entry",
        "make_hop",
        "parts",
        "refused",
        "request",
        "target_call",
    )

    def __init__(
        self,
        parts: _node_parts.NodeParts,
        request: calls.CallRequest,
        deadline: calls.Deadline,
        make_hop: Callable[[str, codes.ResultCode], records.HopRecord],
        refused: Callable[[codes.ResultCode, str], None],
        ended: Callable[[calls.CallAnswer], None],
    ) -> None:
        self.parts = parts
        self.request = request
        self.deadline = deadline
        self.make_hop = make_hop
        self.refused = refused
        self.ended = ended
        self.context: retries.CallContext | None = None
        self.target_call: target.TargetCall | None = None
        self.contained: crashes.SuspectCall | None = None
        """The call as the containment of crashes sees it."""

        self.entry = limits.GuardEntry(
            rank=request.rank,
            depth=request.depth,
            deadline=deadline,
            start=self.start,
            refuse=self.refuse_by_guard,
            kind=request.kind,
        )

    def submit(self) -> None:
        """Start, queue or refuse the call."""
        self.parts.notices.adopt_limit(
            self.parts.settings.instance, self.request.rate_limit_per_s
        )
        containment = self.parts.containment
        if containment.is_idle():
            self.enter_guard()
            return
        self.contained = containment.make_call(
            self.request, self.deadline, self.enter_guard, self.refuse_by_crashes
        )
        containment.submit(self.contained)

    def enter_guard(self) -> None:
        """Submit the call to the guard, which starts or queues it."""
        self.parts.guard.submit(self.entry)
        if self.parts.guard.queue_length:
            self.parts.guard_timer.arm()

    def refuse_by_guard(self, code: codes.ResultCode) -> None:
        """End a call that the guard refused."""
        self.refuse(code, "guard")

    def refuse_by_crashes(self, code: codes.ResultCode) -> None:
        """End a call that may not run because of earlier crashes."""
        self.refuse(code, "crashes")

    def refuse(self, code: codes.ResultCode, rule: str) -> None:
        """End a call that was not sent to the target."""
        self.record_end(has_response=False)
        self.refused(code, rule)

    def record_end(self, has_response: bool) -> None:
        """Report the end of the call to the containment."""
        self.parts.containment.record_end(self.contained, self.request, has_response)

    def start(self) -> None:
        """Send the call to the target."""
        request = self.request
        opened = self.parts.contexts.open(
            self.deadline,
            request.priority_class,
            request.rank,
            request.tree_id,
            request.depth,
            request.retry_tokens,
        )
        if isinstance(opened, result.Err):
            self.release(succeeded=False)
            self.refuse(opened.err_value, "contexts")
            return
        self.context = opened.ok_value
        self.target_call = self.parts.target.send(
            target.TargetRequest(
                method=request.method,
                path=request.path,
                headers=_target_headers.make_headers(
                    request, self.context, self.parts.clock
                ),
                body=request.body,
                deadline=self.deadline,
                echo=(edge.CONTEXT_HEADER, self.context.context_id),
            ),
            self.target_ended,
        )

    def target_ended(self, response: target.TargetResponse) -> None:
        """End the run, once it is known whether the target ended with the call."""
        is_lost = response.code is _Code.TARGET_CLOSED_EARLY
        if not is_lost or self.parts.state.draining:
            self.run_ended(response)
            return
        assert self.context is not None
        self.parts.watch.record_lost(
            crashes.LostCall(
                self.request,
                self.context.context_id,
                self.entry.started_at_ms,
                self.lost,
            )
        )

    def lost(self, target_has_ended: bool) -> None:
        """End a run whose connection broke."""
        code = _Code.TARGET_CRASHED if target_has_ended else _Code.TARGET_CLOSED_EARLY
        self.run_ended(target.TargetResponse(code))

    def run_ended(self, response: target.TargetResponse) -> None:
        """Release the slot and turn the target's response into the answer."""
        code = response.code
        if _target_headers.is_shed(response):
            code = _Code.TARGET_SHED
        assert self.context is not None
        if response.code is _Code.ANSWERED:
            self.parts.notices.record(
                self.parts.settings.instance,
                notices.read_notices(response.headers, _target_headers.NOTICE_NAMES),
                self.entry.started_at_ms,
                has_run=code is _Code.ANSWERED,
            )
        if code is _Code.DEADLINE_PASSED and self.context.nested_count:
            # The target was waiting for another service, so the timeout must not
            # reduce the target's own limit.
            self.parts.guard.abandoned(self.entry)
        else:
            self.release(succeeded=code is _Code.ANSWERED)
        tokens_returned = self.parts.contexts.close(self.context.context_id)
        hop = self.make_hop("target", code)
        answer = _run_answer.make_answer(
            self.parts, self.request, self.context, code, hop, tokens_returned
        )
        if code is _Code.ANSWERED:
            _run_answer.add_response(answer, response)
        self.record_end(has_response=code is _Code.ANSWERED)
        self.ended(answer)

    def release(self, succeeded: bool) -> None:
        """Release the slot of the guard."""
        if self.context is not None:
            self.entry.nested_ms = self.context.nested_ms
        self.parts.guard.finished(self.entry, succeeded)

    def cancel_waiting(self) -> bool:
        """Cancel a call that has not started; return whether that was so."""
        if self.contained is not None and self.contained.state is _WAITING:
            self.parts.containment.cancel(self.contained)
            return True
        return self.parts.guard.cancel(self.entry)

    def cancel(self) -> None:
        """Cancel the call, also if it runs."""
        if self.cancel_waiting() or self.target_call is None:
            return
        self.target_call.cancel()
        self.parts.guard.abandoned(self.entry)
        if self.contained is not None:
            self.parts.containment.cancel(self.contained)
        if self.context is not None:
            self.parts.contexts.close(self.context.context_id)
