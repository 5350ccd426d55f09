"""A call that this node passes through its guard to its own target."""

from collections.abc import Callable
from typing import Any

import attrs
import result

from jujubetiller import calls, codes, keys, records
from jujubetiller.node import _begin_codes, _hops, _node_parts, _target_run

_Code = codes.ResultCode


class InboundCall:
    """Runs one call at the target, subject to the guard, and replies once.

    If the same execution key is already running, the call is attached to that
    run and gets its answer.
    """

    __slots__ = (
        "attached_key",
        "attached_timer",
        "deadline",
        "key",
        "parts",
        "reply",
        "request",
        "run",
    )

    def __init__(
        self,
        parts: _node_parts.NodeParts,
        request: calls.CallRequest,
        reply: Callable[[calls.CallAnswer], None],
    ) -> None:
        self.parts = parts
        self.request = request
        self.reply: Callable[[calls.CallAnswer], None] | None = reply
        self.deadline = calls.Deadline.after(parts.clock, request.deadline_left_ms)
        self.key: keys.ExecutionKey | None = None
        self.attached_key: keys.ExecutionKey | None = None
        """The key of a running call whose answer this call waits for.

        The wait ends at this call's deadline.
        """

        self.attached_timer: Any = None
        self.run: _target_run.TargetRun | None = None
        """Set once the call is submitted."""

    def begin(self) -> None:
        """Check the call and submit it to the guard, or refuse it."""
        code = self.check()
        if code is not None:
            self.answer_with(self.refuse(code, "check"))
        elif not self.request.key:
            self.submit()
        else:
            self.begin_key()

    def check(self) -> codes.ResultCode | None:
        """Return the code that refuses the call, or ``None`` if it may run."""
        if not self.parts.state.ready:
            return _Code.NOT_READY
        if self.request.service != self.parts.settings.service:
            return _Code.WRONG_SERVICE
        if not self.request.key:
            kind = self.parts.tickets.request_kinds.get(self.request.kind)
            if not self.request.idempotent or (kind and not kind.idempotent):
                return _Code.KEY_REQUIRED
        return None

    def begin_key(self) -> None:
        """Run, attach, replay or refuse the call as the execution table decides."""
        verified = self.parts.key_signer.verify(self.request.key)
        if isinstance(verified, result.Err):
            self.answer_with(self.refuse(verified.err_value.code, "key"))
            return
        key = verified.ok_value
        begin = self.parts.executions.begin(key, self.answer_shared)
        if begin.state is keys.BeginState.RUN_NOW:
            self.key = key
            self.submit()
        elif begin.state is keys.BeginState.REPLAY:
            assert begin.answer is not None
            self.answer_shared(begin.answer)
        elif begin.state is keys.BeginState.ATTACH:
            self.attached_key = key
            left_ms = self.deadline.left_ms(self.parts.clock)
            self.attached_timer = self.parts.reactor.callLater(
                left_ms / 1000.0, self.deadline_passed
            )
        else:
            self.answer_with(
                self.refuse(_begin_codes.CODE_BY_BEGIN_STATE[begin.state], "key")
            )

    def submit(self) -> None:
        """Send the call to the target, as containment and guard let it."""
        self.run = _target_run.TargetRun(
            self.parts,
            self.request,
            self.deadline,
            self.make_hop,
            self.refused,
            self.end,
        )
        self.run.submit()

    def refused(self, code: codes.ResultCode, rule: str) -> None:
        """End a call that was not sent to the target."""
        self.end(self.refuse(code, rule))

    def refuse(self, code: codes.ResultCode, rule: str) -> calls.CallAnswer:
        """Return the answer for a call that this node did not send to the target."""
        level = self.parts.guard.pressure_level()
        return calls.CallAnswer(
            outcome=codes.describe(code).outcome,
            code=code,
            tokens_returned=self.request.retry_tokens,
            pressure=level,
            pressure_service=self.request.service,
            hops=(self.make_hop(rule, code),),
            key=self.request.key,
        )

    def make_hop(self, rule: str, code: codes.ResultCode) -> records.HopRecord:
        """Return this node's hop record of the call."""
        entry = None if self.run is None else self.run.entry
        run_ms = 0.0
        if entry is not None and entry.started_at_ms:
            run_ms = self.parts.clock.now_ms() - entry.started_at_ms
        return _hops.make_hop(
            self.parts,
            rule,
            code,
            wait_ms=0.0 if entry is None else entry.wait_ms,
            run_ms=run_ms,
            deadline_left_ms=self.deadline.left_ms(self.parts.clock),
            attempts=self.request.attempt,
            depth=self.request.depth,
        )

    def end(self, answer: calls.CallAnswer) -> None:
        """Record the answer for the call's key, if it has one, then reply."""
        if self.key is not None:
            self.parts.executions.finish(self.key, answer)
        self.answer_with(answer)

    def stop_waiting(self, key: keys.ExecutionKey) -> None:
        """Detach this call from the running key."""
        if self.attached_timer.active():
            self.attached_timer.cancel()
        self.parts.executions.detach(key, self.answer_shared)

    def deadline_passed(self) -> None:
        """End an attached call; the run continues for callers with later deadlines."""
        self.answer_shared(self.refuse(_Code.DEADLINE_PASSED, "key"))

    def answer_shared(self, answer: calls.CallAnswer) -> None:
        """Reply with the answer of a run that another call started.

        The retry tokens, the pressure and the hop record are those of this call.
        """
        if self.attached_key is not None:
            self.stop_waiting(self.attached_key)
        shared = self.refuse(answer.code, "key")
        self.answer_with(
            attrs.evolve(
                answer,
                tokens_returned=shared.tokens_returned,
                pressure=shared.pressure,
                pressure_service=shared.pressure_service,
                hops=shared.hops,
            )
        )

    def answer_with(self, answer: calls.CallAnswer) -> None:
        """Reply once, unless the call was cancelled."""
        reply, self.reply = self.reply, None
        if reply is not None:
            self.parts.notices.add_to_answer(self.parts.settings.instance, answer)
            reply(answer)

    def cancel(self) -> None:
        """Cancel the call for a caller that no longer waits.

        A call with a key that already runs is not cancelled: its caller may send
        the same key again and then gets the recorded answer.
        """
        self.reply = None
        if self.attached_key is not None:
            self.stop_waiting(self.attached_key)
        if self.run is None:
            return
        if self.key is None:
            self.run.cancel()
            return
        if not self.parts.executions.count_attached(self.key) and (
            self.run.cancel_waiting()
        ):
            self.parts.executions.not_run(self.key)
