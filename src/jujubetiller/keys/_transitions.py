"""The state machine of a key at its owner."""

import attrs

from jujubetiller.keys import _states

_State = _states.KeyState
_Event = _states.KeyEvent
_Begin = _states.BeginState


@attrs.frozen
class Transition:
    """The next state, and what ``begin`` or ``seal`` returns."""

    next_state: _states.KeyState
    begin_state: _states.BeginState | None = None

    confirms_not_run: bool = False
    """Whether a ``seal`` confirms that the key never ran and never will."""


# An event that is not listed for a state is unexpected there: it is counted and the
# state does not change.
TRANSITIONS: dict[tuple[_states.KeyState, _states.KeyEvent], Transition] = {
    (_State.UNSEEN, _Event.BEGIN): Transition(_State.RUNNING, _Begin.RUN_NOW),
    (_State.UNSEEN, _Event.SEAL): Transition(_State.SEALED, confirms_not_run=True),
    (_State.RUNNING, _Event.BEGIN): Transition(_State.RUNNING, _Begin.ATTACH),
    (_State.RUNNING, _Event.FINISH): Transition(_State.RECORDED),
    (_State.RUNNING, _Event.NOT_RUN): Transition(_State.SEALED),
    (_State.RUNNING, _Event.SEAL): Transition(_State.RUNNING),
    (_State.RECORDED, _Event.BEGIN): Transition(_State.RECORDED, _Begin.REPLAY),
    (_State.RECORDED, _Event.SEAL): Transition(_State.RECORDED),
    (_State.RECORDED, _Event.DROP): Transition(_State.DROPPED),
    (_State.DROPPED, _Event.BEGIN): Transition(
        _State.DROPPED, _Begin.RAN_ANSWER_DROPPED
    ),
    (_State.DROPPED, _Event.SEAL): Transition(_State.DROPPED),
    (_State.SEALED, _Event.BEGIN): Transition(_State.SEALED, _Begin.SEALED),
    (_State.SEALED, _Event.SEAL): Transition(_State.SEALED, confirms_not_run=True),
}
