"""The owner's table of execution keys."""

from jujubetiller import calls, clock, codes, settings
from jujubetiller.keys import (
    _begin,
    _epoch_counter,
    _execution_key,
    _recorded_answers,
    _running_key,
    _states,
    _transitions,
)

_State = _states.KeyState
_Event = _states.KeyEvent

# What is stored for a key. The two states without data are stored as they are,
# because most entries are in one of them and a table holds many.
_Stored = _running_key.RunningKey | calls.CallAnswer | _states.KeyState

_STATE_BY_TYPE: dict[type, _states.KeyState] = {
    _running_key.RunningKey: _State.RUNNING,
    calls.CallAnswer: _State.RECORDED,
}

_BEGIN = {state: _begin.Begin(state) for state in _states.BeginState}

# Nodes that mint keys estimate the owner's epoch; the estimate may be one too high.
EPOCHS_AHEAD = 1


class ExecutionTable:
    """Stores the state of every key that this process owns and still accepts.

    Keys are stored per epoch, and an epoch is dropped only once its keys are no
    longer accepted, so that a duplicate never finds its key missing and runs again.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        key_settings: settings.KeySettings,
        instance: str,
        service: str,
        boot_id: str,
    ) -> None:
        self.key_settings = key_settings
        self.instance = instance
        self.service = service
        self.boot_id = boot_id
        self.epochs = _epoch_counter.EpochCounter(time_source, key_settings)
        self.keys: dict[int, dict[bytes, _Stored]] = {}
        self.recorded = _recorded_answers.RecordedAnswers(key_settings.answer_bytes)
        # Keys that were running when their epoch was dropped. They cannot begin
        # again, but attached callers still wait for the answer.
        self.running_in_dropped_epochs: dict[bytes, _running_key.RunningKey] = {}
        self.begin_counts = dict.fromkeys(_states.BeginState, 0)
        self.seals_confirmed = 0
        self.seals_refused = 0
        self.answers_dropped = 0
        self.unexpected_events = 0

    def begin(
        self,
        key: _execution_key.ExecutionKey,
        on_answer: _running_key.AnswerListener,
    ) -> _begin.Begin:
        """Return what to do with a call that carries ``key``.

        ``on_answer`` is stored only for ``ATTACH`` and is called once.
        """
        begin = self._begin(key, on_answer)
        self.begin_counts[begin.state] += 1
        return begin

    def finish(
        self, key: _execution_key.ExecutionKey, answer: calls.CallAnswer
    ) -> None:
        """Record the answer of a key for which ``begin`` returned ``RUN_NOW``.

        An answer whose outcome is ``NOT_RUN`` is passed to ``not_run``.
        """
        if answer.outcome is codes.Outcome.NOT_RUN:
            self.not_run(key, answer)
            return
        shared = _recorded_answers.make_shared(answer)
        self._end_run(key, _Event.FINISH, shared, shared)

    def not_run(
        self,
        key: _execution_key.ExecutionKey,
        answer: calls.CallAnswer | None = None,
    ) -> None:
        """Seal a key after ``RUN_NOW`` if its call did not reach the target.

        Without the seal, a late duplicate of the call could still run after the
        caller was notified that it did not. Attached callers get ``answer``.
        """
        if answer is None:
            answer = calls.make_refusal(codes.ResultCode.KEY_SEALED)
        shared = _recorded_answers.make_shared(answer)
        self._end_run(key, _Event.NOT_RUN, _State.SEALED, shared)

    def seal(self, key: _execution_key.ExecutionKey) -> bool:
        """Seal the key; return whether it never ran and will never run."""
        confirmed = self._seal(key)
        if confirmed:
            self.seals_confirmed += 1
        else:
            self.seals_refused += 1
        return confirmed

    def detach(
        self,
        key: _execution_key.ExecutionKey,
        on_answer: _running_key.AnswerListener,
    ) -> None:
        """Stop waiting for the answer of a running key."""
        running = self._find_running(key, self._lookup(key))
        if running is not None and on_answer in running.listeners:
            running.listeners.remove(on_answer)

    def count_attached(self, key: _execution_key.ExecutionKey) -> int:
        """Return how many callers wait for the answer of a running key."""
        running = self._find_running(key, self._lookup(key))
        return 0 if running is None else len(running.listeners)

    def count_keys(self) -> int:
        """Return how many keys the table holds."""
        return sum(len(epoch_keys) for epoch_keys in self.keys.values())

    def owns(self, key: _execution_key.ExecutionKey) -> bool:
        """Return whether the key names this process as its owner."""
        return key.owner_boot_id == self.boot_id and key.owner_instance == self.instance

    def oldest_accepted(self) -> int:
        """Return the oldest epoch whose keys are accepted."""
        return self.epochs.current() - self.key_settings.epochs_kept

    def _find_refusal(
        self, key: _execution_key.ExecutionKey
    ) -> _states.BeginState | None:
        """Return why the key is refused without a lookup, or None."""
        if not self.owns(key):
            return _states.BeginState.NOT_MINE
        if key.service != self.service:
            return _states.BeginState.WRONG_SERVICE
        oldest = self.oldest_accepted()
        newest = oldest + self.key_settings.epochs_kept + EPOCHS_AHEAD
        if not oldest <= key.epoch <= newest:
            return _states.BeginState.EXPIRED
        self._drop_epochs_before(oldest)
        return None

    def _begin(
        self,
        key: _execution_key.ExecutionKey,
        on_answer: _running_key.AnswerListener,
    ) -> _begin.Begin:
        refused = self._find_refusal(key)
        if refused is not None:
            return _BEGIN[refused]
        stored = self._lookup(key)
        transition = self._transition(stored, _Event.BEGIN)
        assert transition is not None and transition.begin_state is not None
        begin_state = transition.begin_state
        if begin_state is _states.BeginState.RUN_NOW:
            if not self._insert(key, _running_key.RunningKey()):
                begin_state = _states.BeginState.FULL
        elif isinstance(stored, _running_key.RunningKey):
            if len(stored.listeners) >= self.key_settings.attached_per_key:
                begin_state = _states.BeginState.FULL
            else:
                stored.listeners.append(on_answer)
        elif isinstance(stored, calls.CallAnswer):
            return _begin.Begin(begin_state, stored)
        return _BEGIN[begin_state]

    def _seal(self, key: _execution_key.ExecutionKey) -> bool:
        refused = self._find_refusal(key)
        if refused is not None:
            return refused is _states.BeginState.WRONG_SERVICE
        stored = self._lookup(key)
        transition = self._transition(stored, _Event.SEAL)
        assert transition is not None
        if stored is None:
            return self._insert(key, _State.SEALED)
        return transition.confirms_not_run

    def _insert(self, key: _execution_key.ExecutionKey, stored: _Stored) -> bool:
        epoch_keys = self.keys.setdefault(key.epoch, {})
        if len(epoch_keys) >= self.key_settings.keys_per_epoch:
            return False
        epoch_keys[key.key_id] = stored
        return True

    def _lookup(self, key: _execution_key.ExecutionKey) -> _Stored | None:
        epoch_keys = self.keys.get(key.epoch)
        return None if epoch_keys is None else epoch_keys.get(key.key_id)

    def _end_run(
        self,
        key: _execution_key.ExecutionKey,
        event: _states.KeyEvent,
        next_stored: _Stored,
        answer: calls.CallAnswer,
    ) -> None:
        stored = self._lookup(key)
        running = self.running_in_dropped_epochs.pop(key.key_id, None)
        if running is None and self._transition(stored, event) is not None:
            self.keys[key.epoch][key.key_id] = next_stored
            if isinstance(next_stored, calls.CallAnswer):
                self._add_to_recorded(key, next_stored)
        if isinstance(stored, _running_key.RunningKey):
            running = stored
        # Last, because a listener may begin the same key again.
        if running is not None:
            for on_answer in running.listeners:
                on_answer(answer)

    def _transition(
        self, stored: _Stored | None, event: _states.KeyEvent
    ) -> _transitions.Transition | None:
        """Return the transition, or count the event as unexpected."""
        if stored is None:
            state = _State.UNSEEN
        elif isinstance(stored, _states.KeyState):
            state = stored
        else:
            state = _STATE_BY_TYPE[type(stored)]
        transition = _transitions.TRANSITIONS.get((state, event))
        if transition is None:
            self.unexpected_events += 1
        return transition

    def _find_running(
        self, key: _execution_key.ExecutionKey, stored: _Stored | None
    ) -> _running_key.RunningKey | None:
        if isinstance(stored, _running_key.RunningKey):
            return stored
        return self.running_in_dropped_epochs.get(key.key_id)

    def _add_to_recorded(
        self, key: _execution_key.ExecutionKey, answer: calls.CallAnswer
    ) -> None:
        for dropped in self.recorded.add(key, answer):
            self._transition(self._lookup(dropped), _Event.DROP)
            self.keys[dropped.epoch][dropped.key_id] = _State.DROPPED
            self.answers_dropped += 1

    def _drop_epochs_before(self, oldest: int) -> None:
        outdated = [epoch for epoch in self.keys if epoch < oldest]
        for epoch in outdated:
            for key_id, stored in self.keys.pop(epoch).items():
                if isinstance(stored, _running_key.RunningKey):
                    self.running_in_dropped_epochs[key_id] = stored
        if outdated:
            self.recorded.drop_before(oldest)
