"""A model of a call chain in which every layer retries, with the real retry objects."""

import enum
import random
from collections.abc import Callable

from jujubetiller import calls, clock, codes, retries, settings

_SERVICE = "service"
_KIND = "kind"
_SIGNING_KEYS = ("retry-chain-signing-key",)
_NODES = 3


class Fault(enum.Enum):
    """What happens to one send."""

    NONE = "none"

    REFUSED = "refused"
    """The call does not run."""

    LOST = "lost"
    """The call runs; its answer and the tokens returned with it are lost."""

    FAILED = "failed"
    """The call runs and answers with an error."""


class BoundExceededError(Exception):
    """The call tree made more retries than it has tokens."""


class RetryChain:
    """One client request through ``depth`` services that call each other in turn.

    Nodes retry by ``RetryPolicy``, each target retries its nested call up to
    ``own_retries`` times, and the client retries up to ``client_retries`` times, each
    time through another node. All kinds are idempotent, which allows the most
    retries.
    """

    def __init__(
        self,
        depth: int,
        tokens: int,
        own_retries: int,
        client_retries: int,
        choose_fault: Callable[[int], Fault],
        fan_out: int = 1,
        choose_tokens: Callable[[int], int] = int,
    ) -> None:
        """Create a chain; ``choose_tokens`` maps lent tokens to those of a context."""
        self.depth = depth
        self.tokens = tokens
        self.own_retries = own_retries
        self.client_retries = client_retries
        self.choose_fault = choose_fault
        self.fan_out = fan_out
        self.choose_tokens = choose_tokens
        self.sends_by_depth = [0] * depth
        self.resends_by_depth = [0] * depth
        manual_clock = clock.ManualClock()
        retry_settings = settings.RetrySettings()
        source = random.Random(1)
        signer = retries.RetryTokenSigner(_SIGNING_KEYS)
        self.deadline = calls.Deadline.after(manual_clock, 60_000)
        self.policy = retries.RetryPolicy(manual_clock, source, retry_settings)
        self.contexts = retries.ContextTable(source, retry_settings, 1_000, 40)
        self.nodes = [
            retries.ClientRetries(manual_clock, source, retry_settings, signer)
            for _ in range(_NODES)
        ]

    def run(self) -> calls.CallAnswer:
        """Run the client's request to its end."""
        ledger = retries.RetryLedger(self.tokens)
        answer = self._call(ledger, 0)
        for number in range(1, self.client_retries + 1):
            if retries.is_successful(answer):
                return answer
            text = self.nodes[(number - 1) % _NODES].issue(
                ledger, "tree", _SERVICE, _KIND
            )
            if not text:
                return answer
            node = self.nodes[number % _NODES]
            token = node.redeem(text, _SERVICE, _KIND).unwrap()
            ledger = retries.RetryLedger(token.tokens)
            self._count_retry(0)
            answer = self._call(ledger, 0)
        return answer

    def _count_retry(self, depth: int) -> None:
        self.resends_by_depth[depth] += 1
        if sum(self.resends_by_depth) > self.tokens:
            raise BoundExceededError(self.resends_by_depth)

    def _call(self, ledger: retries.RetryLedger, depth: int) -> calls.CallAnswer:
        """Send a call as a node does, with its retries."""
        outcome = retries.RequestOutcome()
        attempt = 1
        while True:
            self.sends_by_depth[depth] += 1
            reported = outcome.add(answer := self._send(ledger, depth))
            decision = self.policy.decide(answer, True, ledger, self.deadline, attempt)
            if decision.action is retries.RetryAction.STOP:
                return reported
            attempt += 1
            self._count_retry(depth)

    def _send(self, ledger: retries.RetryLedger, depth: int) -> calls.CallAnswer:
        fault = self.choose_fault(depth)
        lent = ledger.lend()
        if fault is Fault.REFUSED:
            ledger.reclaim(lent, lent)
            return calls.make_refusal(codes.ResultCode.QUEUE_FULL)
        answer = self._run(lent, depth, fault)
        if fault is Fault.LOST:
            ledger.forfeit(lent)
            return calls.make_refusal(codes.ResultCode.STREAM_LOST)
        ledger.reclaim(lent, answer.tokens_returned)
        return answer

    def _run(self, lent: int, depth: int, fault: Fault) -> calls.CallAnswer:
        """Run the call at a target, which makes its nested calls."""
        context = self.contexts.open(
            self.deadline, 0, 0, "tree", depth, self.choose_tokens(lent)
        ).unwrap()
        succeeded = fault is not Fault.FAILED
        if depth + 1 < self.depth:
            for child in range(self.fan_out):
                succeeded = self._retry_nested(context, child) and succeeded
        return calls.CallAnswer(
            codes.Outcome.ANSWERED,
            codes.ResultCode.ANSWERED,
            status=200 if succeeded else 503,
            tokens_returned=self.contexts.close(context.context_id),
        )

    def _retry_nested(self, context: retries.CallContext, child: int) -> bool:
        return any(
            retries.is_successful(self._call_nested(context, child))
            for _ in range(1 + self.own_retries)
        )

    def _call_nested(
        self, context: retries.CallContext, child: int
    ) -> calls.CallAnswer:
        depth = context.depth + 1
        nested = context.duplicates.classify(child)
        if nested is retries.NestedCallType.LIMIT:
            return calls.make_refusal(codes.ResultCode.NESTED_CALL_LIMIT)
        if nested is retries.NestedCallType.DUPLICATE:
            if not context.ledger.spend():
                context.duplicates.finished(child, successful=False)
                return calls.make_refusal(codes.ResultCode.RETRY_TOKENS_SPENT)
            self._count_retry(depth)
        answer = self._call(context.ledger, depth)
        context.duplicates.finished(child, retries.is_successful(answer))
        return answer
