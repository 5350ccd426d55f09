"""A client's request at its entry node."""

from collections.abc import Callable

import xxhash

from jujubetiller import calls, codes, edge, keys, limits, retries, tickets
from jujubetiller.node import (
    _call_attempts,
    _explanations,
    _hops,
    _node_parts,
    _owners,
    _replies,
)

_Code = codes.ResultCode
_NOT_RUN = codes.Outcome.NOT_RUN
_ANSWERED = codes.Outcome.ANSWERED


class ClientCall:
    """Starts a call tree for a client's request and answers the client once."""

    __slots__ = (
        "attempts",
        "caller_key",
        "deadline",
        "kind",
        "ledger",
        "outcome",
        "parts",
        "reply",
        "request",
        "started_at_ms",
        "unknown_code",
        "unknown_key",
    )

    def __init__(
        self,
        parts: _node_parts.NodeParts,
        kind: tickets.RequestKind,
        request: calls.CallRequest,
        deadline_ms: float,
        reply: Callable[[edge.EdgeReply], None],
        caller_key: keys.ExecutionKey | None,
        token: retries.RetryToken | None,
    ) -> None:
        self.parts = parts
        self.kind = kind
        self.request = request
        self.reply: Callable[[edge.EdgeReply], None] | None = reply
        self.caller_key = caller_key
        self.started_at_ms = parts.clock.now_ms()
        self.deadline = calls.Deadline(self.started_at_ms + deadline_ms)
        if token is None:
            tokens = min(kind.retry_tokens, parts.settings.retries.max_tokens)
            request.tree_id = f"{parts.random.getrandbits(64):016x}"
            self.unknown_code, self.unknown_key = None, ""
        else:
            tokens = token.tokens
            request.tree_id = token.tree_id
            self.unknown_code, self.unknown_key = token.unknown_code, token.unknown_key
        is_other_key = self.unknown_key != compute_key_digest(request.key)
        self.outcome = retries.RequestOutcome(self.unknown_code, is_other_key)
        self.ledger = retries.RetryLedger(tokens)
        request.rank = limits.compute_rank(kind.priority_class, request.tree_id)
        self.attempts: _call_attempts.CallAttempts | None = None

    def start(self, blocking_code: codes.ResultCode | None) -> None:
        """Start the call, or refuse it if a check fails.

        ``blocking_code`` says why the node starts no calls; ``None`` if it does.
        """
        self.parts.state.calls_under_way += 1
        code, rule = blocking_code, "node"
        if code is None:
            code, rule = self.check_key(), "key"
        if code is None:
            code, rule = (
                self.parts.admission.decide(
                    self.request.service, self.request.kind, self.request.rank
                ),
                "pressure",
            )
        if code is not None:
            self.refuse(code, rule)
            return
        self.attempts = _call_attempts.CallAttempts(
            self.parts,
            self.request,
            self.deadline,
            self.ledger,
            self.end,
            self.caller_key,
            self.outcome,
        )
        self.attempts.start()

    def check_key(self) -> codes.ResultCode | None:
        """Return ``KEY_REQUIRED`` if a client retry lacks the key of the first send.

        This applies to non-idempotent requests of which an earlier attempt may
        have run: the owner of another key would not know of that attempt.
        """
        if (
            self.unknown_code is not None
            and not self.kind.idempotent
            and (self.caller_key is None or self.outcome.other_key_code is not None)
        ):
            return _Code.KEY_REQUIRED
        return None

    def refuse(self, code: codes.ResultCode, rule: str) -> None:
        """Refuse the request at this node."""
        hop = _hops.make_hop(
            self.parts,
            rule,
            code,
            service=self.request.service,
            deadline_left_ms=self.deadline.left_ms(self.parts.clock),
        )
        answer = calls.make_refusal(code, (hop,))
        answer = self.outcome.add(answer)
        _owners.refuse_after_seal(
            self.parts, self.caller_key, self.request.key, answer, self.end
        )

    def end(self, answer: calls.CallAnswer) -> None:
        """Answer the client and update the metrics."""
        reply, self.reply = self.reply, None
        if reply is None:
            return
        self.parts.state.calls_under_way -= 1
        edge_reply = _replies.render_answer(answer)
        took_ms = self.parts.clock.now_ms() - self.started_at_ms
        if answer.outcome is not _ANSWERED:
            self.add_retry_token(answer, edge_reply)
        else:
            _explanations.observe_added(self.parts, answer, took_ms)
        if answer.outcome is not _ANSWERED or took_ms > self.slow_ms():
            record = _explanations.make_record(
                self.parts,
                self.request,
                answer,
                took_ms,
                self.deadline.left_ms(self.parts.clock),
            )
            edge_reply.headers.append(("Jujubetiller-Record", record))
        _explanations.count(self.parts, self.request, answer, took_ms)
        reply(edge_reply)

    def slow_ms(self) -> float:
        """Return the time above which an answer carries a signed call record."""
        if self.kind.slow_ms is not None:
            return self.kind.slow_ms
        policy = self.parts.tickets.site_policy
        if policy is not None and policy.slow_ms is not None:
            return policy.slow_ms
        return _explanations.DEFAULT_SLOW_MS

    def add_retry_token(
        self, answer: calls.CallAnswer, edge_reply: edge.EdgeReply
    ) -> None:
        """Add a retry token for the rest of the call tree's retry budget."""
        unknown_code, unknown_key = None, ""
        if answer.outcome is not _NOT_RUN:
            unknown_code = answer.code
            unknown_key = compute_key_digest(answer.key)
            if self.unknown_code is not None:
                # The owner of a later key doesn't know of the earlier attempt.
                unknown_key = self.unknown_key
        token = self.parts.client_retries.issue(
            self.ledger,
            self.request.tree_id,
            self.request.service,
            self.request.kind,
            unknown_code,
            unknown_key,
        )
        if token:
            edge_reply.headers.append(("Jujubetiller-Retry-Token", token))

    def cancel(self) -> None:
        """Cancel the call tree of a client that disconnected."""
        if self.reply is None:
            return
        self.reply = None
        self.parts.state.calls_under_way -= 1
        if self.attempts is not None:
            self.attempts.cancel()


def compute_key_digest(key: str) -> str:
    """Return the digest that a retry token holds of a key; empty for no key."""
    return xxhash.xxh3_128_hexdigest(key.encode()) if key else ""
