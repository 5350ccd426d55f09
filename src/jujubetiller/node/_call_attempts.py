"""The attempts of one call, at other nodes or at this node."""

import functools
from collections.abc import Callable

import attrs
import result

from jujubetiller import calls, codes, keys, retries, routing, streams
from jujubetiller.node import _inbound_call, _node_parts, _owners

_Code = codes.ResultCode
_NOT_RUN = codes.Outcome.NOT_RUN
_UNKNOWN = codes.Outcome.UNKNOWN

# Codes with which the owner of a key ends a call although the key may still run there.
_KEY_UNSEALED_CODES = frozenset((_Code.KEY_TABLE_FULL,))


class CallAttempts:
    """Sends a call, retries it where allowed, and reports its end exactly once.

    Calls with an execution key are sent only to the owner of the key. If this
    object minted the key and the attempt certainly did not run, the retry gets a
    new key for another instance. After an unknown outcome, the retry goes to the
    same owner under the same key.
    """

    __slots__ = (
        "caller_key",
        "cancel_attempt",
        "deadline",
        "ended",
        "excluded",
        "instance",
        "is_sent",
        "ledger",
        "lent_tokens",
        "on_end",
        "outcome",
        "parts",
        "request",
        "sent_at_ms",
    )

    def __init__(
        self,
        parts: _node_parts.NodeParts,
        request: calls.CallRequest,
        deadline: calls.Deadline,
        ledger: retries.RetryLedger,
        on_end: Callable[[calls.CallAnswer], None],
        caller_key: keys.ExecutionKey | None = None,
        outcome: retries.RequestOutcome | None = None,
    ) -> None:
        self.parts = parts
        self.request = request
        self.deadline = deadline
        self.ledger = ledger
        self.on_end = on_end
        self.caller_key = caller_key
        self.outcome = outcome or retries.RequestOutcome()
        self.excluded: frozenset[str] = frozenset()
        self.instance: routing.RoutableInstance | None = None
        self.lent_tokens = 0
        self.sent_at_ms = 0.0
        self.is_sent = False
        self.cancel_attempt: Callable[[], None] | None = None
        self.ended = False

    def start(self) -> None:
        """Make the first attempt."""
        self.request.attempt = 0
        self.attempt()

    def attempt(self) -> None:
        """Choose an instance and send the call to it."""
        if self.ended:
            return
        self.cancel_attempt = None
        self.request.attempt += 1
        chosen = self.choose()
        if isinstance(chosen, result.Err):
            self.end(self.outcome.add(calls.make_refusal(chosen.err_value)))
            return
        self.instance = chosen.ok_value
        if self.request.idempotent or self.request.key:
            self.send()
        else:
            self.mint_key()

    def choose(self) -> result.Result[routing.RoutableInstance, codes.ResultCode]:
        """Return the owner of the key, or the instance for which to mint a key.

        If only excluded instances are left, they may be chosen again.
        """
        if self.caller_key is not None:
            return _owners.find_owner(self.parts, self.caller_key)
        if self.request.key and self.instance is not None:
            return result.Ok(self.instance)
        urgent = self.request.priority_class == 0 or self.request.depth > 0
        choose = functools.partial(
            self.parts.router.choose, self.request.service, urgent=urgent
        )
        chosen = choose(exclude=self.excluded)
        if isinstance(chosen, result.Err) and self.excluded:
            self.excluded = frozenset()
            chosen = choose()
        return chosen

    def mint_key(self) -> None:
        """Connect to the chosen instance if necessary and mint a key for it."""
        assert self.instance is not None
        if self.instance.instance == self.parts.settings.instance:
            self.set_key(
                self.parts.state.boot_id, self.parts.executions.epochs.current()
            )
            self.send()
            return
        address = self.instance.address
        identity = self.parts.pool.identity_of(address)
        if identity is None:
            timeout_ms = min(
                float(self.parts.settings.streams.connect_timeout_ms),
                self.deadline.left_ms(self.parts.clock),
            )
            self.parts.pool.connect(address, timeout_ms, self.handle_connected)
        else:
            self.handle_connected(identity)

    def handle_connected(self, identity: streams.PeerIdentity | None) -> None:
        """Mint a key for the process at the instance's address and send the call."""
        if self.ended:
            return
        assert self.instance is not None
        if self.deadline.has_passed(self.parts.clock):
            # The connect timeout was cut to the deadline, so this does not mean that
            # the instance is unreachable.
            self.end(self.outcome.add(calls.make_refusal(_Code.DEADLINE_SPENT)))
            return
        if identity is None or identity.instance != self.instance.instance:
            self.lent_tokens = 0
            self.sent_at_ms = self.parts.clock.now_ms()
            self.is_sent = True
            self.parts.router.record_sent(self.instance)
            self.handle_answer(calls.make_refusal(_Code.PEER_UNREACHABLE))
            return
        self.set_key(identity.boot_id, identity.key_epoch)
        self.send()

    def set_key(self, boot_id: str, epoch: int) -> None:
        """Set a new key that the process ``boot_id`` of the instance owns."""
        assert self.instance is not None
        self.request.key, _ = self.parts.key_signer.mint(
            self.parts.random,
            self.request.service,
            self.request.kind,
            self.instance.instance,
            boot_id,
            epoch,
        )

    def send(self) -> None:
        """Send the call to the chosen instance."""
        instance = self.instance
        assert instance is not None
        self.lent_tokens = self.ledger.lend()
        self.request.retry_tokens = self.lent_tokens
        self.sent_at_ms = self.parts.clock.now_ms()
        self.request.deadline_left_ms = self.deadline.at_ms - self.sent_at_ms
        self.request.rate_limit_per_s = self.parts.router.known_rate_limit(instance)
        self.is_sent = True
        self.parts.router.record_sent(instance)
        if instance.instance == self.parts.settings.instance:
            # The local call gets a copy because retries change the request.
            local = _inbound_call.InboundCall(
                self.parts, attrs.evolve(self.request), self.handle_answer
            )
            self.cancel_attempt = local.cancel
            local.begin()
            return
        outgoing = self.parts.pool.send_call(
            instance.address, self.request, self.deadline, self.handle_answer
        )
        self.cancel_attempt = outgoing.cancel

    def handle_answer(self, answer: calls.CallAnswer) -> None:
        """Process the answer to an attempt, then end the call or retry it."""
        if self.ended:
            return
        self.cancel_attempt = None
        self.is_sent = False
        instance = self.instance
        assert instance is not None
        from_peer = bool(answer.hops)
        self.return_tokens(answer, from_peer)
        took_ms = self.parts.clock.now_ms() - self.sent_at_ms
        self.parts.router.record_answer(instance, answer, took_ms)
        if answer.code is _Code.PEER_UNREACHABLE:
            self.parts.router.mark_unreachable(instance)
        elif from_peer:
            self.parts.pressure_table.observe(
                self.request.service,
                self.request.kind,
                answer.pressure,
                answer.pressure_service,
            )
        if self.request.key and _owners.is_from_owner(answer):
            # The owner's answer also decides earlier unknown attempts under the key.
            self.outcome.clear_unknown()
        report = self.outcome.add(answer)
        if not self.may_retry(answer):
            self.end(report)
            return
        decision = self.parts.retry_policy.decide(
            answer,
            self.request.idempotent or bool(self.request.key),
            self.ledger,
            self.deadline,
            self.request.attempt,
        )
        if decision.action is retries.RetryAction.STOP:
            self.end(report)
            return
        self.parts.metrics.count_retry(decision.reason.value)
        self.prepare_retry()
        delayed = self.parts.reactor.callLater(decision.delay_ms / 1000.0, self.attempt)
        self.cancel_attempt = delayed.cancel

    def return_tokens(self, answer: calls.CallAnswer, from_peer: bool) -> None:
        """Return the lent tokens that the attempt did not spend to the ledger."""
        if from_peer:
            self.ledger.reclaim(self.lent_tokens, answer.tokens_returned)
        elif answer.outcome is _NOT_RUN:
            self.ledger.reclaim(self.lent_tokens, self.lent_tokens)
        else:
            self.ledger.forfeit(self.lent_tokens)
        self.lent_tokens = 0

    def may_retry(self, answer: calls.CallAnswer) -> bool:
        """Return whether the call may be retried as far as its key is concerned."""
        if not self.request.key or not _owners.is_from_owner(answer):
            return True
        if answer.code in _KEY_UNSEALED_CODES:
            return True
        # The owner has run or sealed the key. If it is sealed, the call may be
        # retried under a new key, unless the caller supplied the key.
        return answer.outcome is _NOT_RUN and self.caller_key is None

    def prepare_retry(self) -> None:
        """Exclude the instance from the retry and drop the key minted for it.

        Both are kept if the caller supplied the key, or if an attempt under the
        key may have run: only the key's owner knows whether it did, so the call
        must not go to another instance.
        """
        if self.caller_key is not None:
            return
        if self.request.key and self.outcome.unknown_code is not None:
            return
        assert self.instance is not None
        self.excluded |= {self.instance.instance}
        self.request.key = ""

    def end(self, answer: calls.CallAnswer) -> None:
        """End the call; a key supplied by the caller is sealed first if necessary."""
        key = None if _owners.is_from_owner(answer) else self.caller_key
        _owners.refuse_after_seal(
            self.parts, key, self.request.key, answer, self.finish
        )

    def finish(self, answer: calls.CallAnswer) -> None:
        """Call ``on_end`` once with the final answer."""
        if self.ended:
            return
        self.ended = True
        if not answer.key:
            answer.key = self.request.key
        self.on_end(answer)

    def cancel(self) -> None:
        """Cancel the call for a caller that disconnected, without ``on_end``."""
        self.ended = True
        if self.is_sent:
            assert self.instance is not None
            self.parts.router.record_answer(
                self.instance,
                calls.make_refusal(_Code.CANCELLED_WHILE_RUNNING),
                self.parts.clock.now_ms() - self.sent_at_ms,
            )
        if self.cancel_attempt is not None:
            self.cancel_attempt()
