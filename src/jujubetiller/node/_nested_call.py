"""A nested call, made by the node's own target while it runs a call."""

from collections.abc import Callable

import result

from jujubetiller import calls, codes, edge, keys, limits, retries, tickets
from jujubetiller.node import _call_attempts, _hops, _node_parts, _owners, _replies

_Code = codes.ResultCode

LOWEST_PRIORITY_CLASS = 7

MAX_DEPTH = 32
"""Ends loops of services that call each other. The longest planned call chain has
17 calls."""


class NestedCall:
    """Sends a call of the target and answers the target once.

    The deadline, rank and retry tokens are inherited from the call that the
    target is running. A duplicate, that is, a call that the target sends again,
    costs a retry token. A duplicate of a non-idempotent call gets the key of the
    earlier one, so that the call does not run twice, and is refused while the
    earlier one is under way.
    """

    __slots__ = (
        "attempts",
        "context",
        "deadline",
        "fingerprint",
        "kind",
        "ledger",
        "parts",
        "reply",
        "request",
    )

    def __init__(
        self,
        parts: _node_parts.NodeParts,
        context: retries.CallContext | None,
        kind: tickets.RequestKind,
        request: calls.CallRequest,
        deadline_ms: float,
        reply: Callable[[edge.EdgeReply], None],
    ) -> None:
        self.parts = parts
        self.context = context
        self.kind = kind
        self.request = request
        self.reply: Callable[[edge.EdgeReply], None] | None = reply
        self.attempts: _call_attempts.CallAttempts | None = None
        self.fingerprint: int | None = None
        at_ms = parts.clock.now_ms() + deadline_ms
        if context is None:
            self.deadline = calls.Deadline(at_ms)
            self.ledger = retries.RetryLedger(0)
            request.tree_id = f"{parts.random.getrandbits(64):016x}"
            request.priority_class = LOWEST_PRIORITY_CLASS
            request.rank = limits.compute_rank(LOWEST_PRIORITY_CLASS, request.tree_id)
        else:
            self.deadline = calls.Deadline(min(at_ms, context.deadline.at_ms))
            self.ledger = context.ledger
            request.tree_id = context.tree_id
            request.priority_class = context.priority_class
            request.rank = context.rank
            request.depth = context.depth + 1

    def start(self, blocking_code: codes.ResultCode | None) -> None:
        """Start the call, or refuse it if a check fails.

        ``blocking_code`` says why the node starts no calls; ``None`` if it does.
        """
        self.parts.state.calls_under_way += 1
        code, rule = blocking_code, "node"
        if code is None and self.request.depth > MAX_DEPTH:
            code, rule = _Code.NESTED_CALL_LIMIT, "depth"
        if code is None:
            code, rule = self.check_duplicate(), "repeat"
        caller_key = self.read_key()
        if code is None and self.request.key and caller_key is None:
            code, rule = _Code.BAD_KEY, "key"
        if code is not None:
            self.refuse(code, rule, caller_key)
            return
        if (
            self.context is not None
            and self.fingerprint is not None
            and not self.request.idempotent
        ):
            earlier = self.context.requests.get(self.fingerprint)
            if earlier is None or earlier.key == self.request.key:
                self.context.requests[self.fingerprint] = self.request
        if self.context is not None:
            self.context.enter_nested(self.parts.clock.now_ms())
        self.attempts = _call_attempts.CallAttempts(
            self.parts,
            self.request,
            self.deadline,
            self.ledger,
            self.end,
            caller_key,
        )
        self.attempts.start()

    def check_duplicate(self) -> codes.ResultCode | None:
        """Spend a retry token on a duplicate and set the key of the earlier call.

        Returns the code that refuses the call, or ``None``.
        """
        context, request = self.context, self.request
        if context is None:
            return None
        fingerprint = retries.compute_fingerprint(
            request.service, request.method, request.path, request.body
        )
        nested = context.duplicates.classify(fingerprint)
        if nested is retries.NestedCallType.LIMIT:
            return _Code.NESTED_CALL_LIMIT
        self.fingerprint = fingerprint
        if nested is retries.NestedCallType.FIRST:
            return None
        if not request.idempotent and not request.key:
            if context.duplicates.is_duplicate_under_way(fingerprint):
                # The earlier call may still replace its key when it is retried, so
                # neither that key nor a new one rules out a second run.
                return _Code.KEY_NOT_SEALED
            earlier = context.requests.get(fingerprint)
            if earlier is not None:
                request.key = earlier.key
        return None if self.ledger.spend() else _Code.RETRY_TOKENS_SPENT

    def read_key(self) -> keys.ExecutionKey | None:
        """Return the call's key if it was minted for this request kind.

        Other keys are not valid here: a target may pass on the key of the call
        that it is running.
        """
        if not self.request.key:
            return None
        verified = self.parts.key_signer.verify(self.request.key)
        if isinstance(verified, result.Err):
            return None
        key = verified.ok_value
        is_for_kind = (key.service, key.kind) == (self.kind.service, self.kind.name)
        return key if is_for_kind else None

    def refuse(
        self,
        code: codes.ResultCode,
        rule: str,
        caller_key: keys.ExecutionKey | None,
    ) -> None:
        """Refuse the call at this node."""
        hop = _hops.make_hop(
            self.parts,
            rule,
            code,
            deadline_left_ms=self.deadline.left_ms(self.parts.clock),
            depth=self.request.depth,
        )
        answer = calls.make_refusal(code, (hop,))
        _owners.refuse_after_seal(
            self.parts, caller_key, self.request.key, answer, self.end
        )

    def end(self, answer: calls.CallAnswer) -> None:
        """Record the answer in the context and answer the target."""
        if self.reply is None:
            return
        self.parts.state.calls_under_way -= 1
        self.leave_context(answer)
        reply, self.reply = self.reply, None
        if reply is not None:
            reply(_replies.render_answer(answer))

    def leave_context(self, answer: calls.CallAnswer) -> None:
        """Record the end of the call in the context of the running call."""
        context = self.context
        if context is None:
            return
        if self.attempts is not None:
            context.leave_nested(self.parts.clock.now_ms())
        context.add_hops(answer.hops)
        context.add_pressure(answer.pressure, answer.pressure_service)
        if self.fingerprint is None:
            return
        successful = retries.is_successful(answer)
        context.duplicates.finished(self.fingerprint, successful)
        # If a duplicate is refused, the earlier call may still have run.
        is_own = context.requests.get(self.fingerprint) is self.request
        if successful or (is_own and answer.outcome is codes.Outcome.NOT_RUN):
            context.requests.pop(self.fingerprint, None)

    def cancel(self) -> None:
        """Cancel a call whose answer the target no longer waits for."""
        if self.reply is None:
            return
        self.reply = None
        self.parts.state.calls_under_way -= 1
        if self.context is not None and self.fingerprint is not None:
            self.context.duplicates.finished(self.fingerprint, successful=False)
        if self.attempts is not None:
            if self.context is not None:
                self.context.leave_nested(self.parts.clock.now_ms())
            self.attempts.cancel()
