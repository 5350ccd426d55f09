"""The contexts of all calls that run at a node's target."""

import random

import result

from jujubetiller import calls, codes, settings
from jujubetiller.retries import _call_context, _duplicate_detector, _retry_ledger


class ContextTable:
    """A bounded table of call contexts by context id."""

    def __init__(
        self,
        random_source: random.Random,
        retry_settings: settings.RetrySettings,
        capacity: int,
        max_hops: int,
    ) -> None:
        """Make an empty table for ``capacity`` calls with ``max_hops`` records each."""
        self.random_source = random_source
        self.retry_settings = retry_settings
        self.capacity = capacity
        self.max_hops = max_hops
        self.contexts: dict[str, _call_context.CallContext] = {}
        self.opened = 0
        self.refused = 0

    def open(
        self,
        deadline: calls.Deadline,
        priority_class: int,
        rank: int,
        tree_id: str,
        depth: int,
        tokens: int,
    ) -> result.Result[_call_context.CallContext, codes.ResultCode]:
        """Add a call that is about to run with ``tokens`` lent by its caller."""
        if len(self.contexts) >= self.capacity:
            self.refused += 1
            return result.Err(codes.ResultCode.TOO_MANY_CALLS)
        self.opened += 1
        # The count prevents the reuse of ids; the random part prevents a target
        # from sending the id of another call's context by mistake.
        context_id = f"{self.opened:x}-{self.random_source.getrandbits(64):016x}"
        context = _call_context.CallContext(
            context_id=context_id,
            deadline=deadline,
            priority_class=priority_class,
            rank=rank,
            tree_id=tree_id,
            depth=depth,
            ledger=_retry_ledger.RetryLedger(tokens),
            duplicates=_duplicate_detector.DuplicateDetector(
                self.retry_settings.nested_calls
            ),
            max_hops=self.max_hops,
        )
        self.contexts[context_id] = context
        return result.Ok(context)

    def find(self, context_id: str) -> _call_context.CallContext | None:
        """Return the context of a call that still runs."""
        return self.contexts.get(context_id)

    def close(self, context_id: str) -> int:
        """Remove a context and return the tokens that its answer returns.

        Tokens lent to nested calls that are still under way count as spent.
        """
        context = self.contexts.pop(context_id, None)
        return 0 if context is None else context.ledger.close()
