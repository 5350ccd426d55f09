"""The result codes of calls that an owner does not run."""

from jujubetiller import codes
from jujubetiller.keys import _states

REFUSAL_CODES: dict[_states.BeginState, codes.ResultCode] = {
    _states.BeginState.SEALED: codes.ResultCode.KEY_SEALED,
    _states.BeginState.RAN_ANSWER_DROPPED: codes.ResultCode.KEY_ANSWER_DROPPED,
    _states.BeginState.NOT_MINE: codes.ResultCode.KEY_NOT_MINE,
    _states.BeginState.EXPIRED: codes.ResultCode.KEY_EXPIRED,
    _states.BeginState.FULL: codes.ResultCode.KEY_TABLE_FULL,
    _states.BeginState.WRONG_SERVICE: codes.ResultCode.WRONG_SERVICE,
}
