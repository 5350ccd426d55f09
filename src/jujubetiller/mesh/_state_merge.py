"""The published state that a node passes on, and what it takes from peers."""

import math

import attrs

from jujubetiller import published
from jujubetiller.mesh import _state_message, _store_stability


class StateMerge:
    """Makes answers to peers' state requests, and applies those of peers."""

    def __init__(
        self,
        state: published.PublishedState,
        source: published.ItemSource,
        store_stability: _store_stability.StoreStability,
        state_age: published.StateAge,
    ) -> None:
        self.state = state
        self.source = source
        self.store_stability = store_stability
        self.state_age = state_age

    def make_answer(
        self, state_request: _state_message.StateRequest
    ) -> _state_message.StateAnswer:
        """Return what the sender of a request lacks."""
        message = self.make_message(
            self.state.changes_since(state_request.revision, state_request.is_exact),
            self._find_retained_for(state_request),
        )
        age_ms = self.state_age.age_ms()
        return attrs.evolve(message, age_ms=age_ms if age_ms < math.inf else None)

    def make_message(
        self,
        changes: published.Changes,
        retained: tuple[published.RetainedItem, ...] = (),
    ) -> _state_message.StateAnswer:
        """Return ``changes`` with what this node knows of the store."""
        return _state_message.StateAnswer(
            changes,
            self.store_stability.find_settled(),
            self.state.released_epoch or 0,
            self.source.is_current(),
            retained,
        )

    def apply_answer(self, answer: _state_message.StateAnswer, sent_ms: float) -> None:
        """Apply the answer to a request of this node, and record the age it proves.

        ``sent_ms`` is when the request was sent, on the clock of ``state_age``. After
        changes that left a gap, or from another history, the answer proves nothing.
        """
        self.apply(answer)
        known, answered = self.state.revision, answer.changes.revision
        is_covered = known.epoch == answered.epoch and known >= answered
        if is_covered and answer.age_ms is not None:
            self.state_age.record_answer(sent_ms, answer.age_ms)

    def apply(self, answer: _state_message.StateAnswer) -> None:
        """Apply the answer of a peer; changes that leave a gap are ignored."""
        changes = answer.changes
        if changes.revision >= self.state.revision and self.state.can_apply(changes):
            self.state.apply(changes)
        self.state.apply_retained(answer.retained)
        self.store_stability.record_settled(answer.settled)
        epoch = self.state.revision.epoch
        if epoch and answer.released_epoch == epoch:
            self.state.release_removals()

    def _find_retained_for(
        self, state_request: _state_message.StateRequest
    ) -> tuple[published.RetainedItem, ...]:
        """Return what this node may know better than the store and the sender."""
        if state_request.revision.epoch > self.state.revision.epoch:
            return self.state.list_values_to_retain()
        retained = self.state.retained
        if retained.digest() == state_request.retained_digest:
            return ()
        return retained.all()
