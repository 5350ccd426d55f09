"""The result codes of execution keys that may not run."""

from jujubetiller import codes, keys

_Code = codes.ResultCode

CODE_BY_BEGIN_STATE: dict[keys.BeginState, codes.ResultCode] = {
    keys.BeginState.SEALED: _Code.KEY_SEALED,
    keys.BeginState.RAN_ANSWER_DROPPED: _Code.KEY_ANSWER_DROPPED,
    keys.BeginState.NOT_MINE: _Code.KEY_NOT_MINE,
    keys.BeginState.EXPIRED: _Code.KEY_EXPIRED,
    keys.BeginState.FULL: _Code.KEY_TABLE_FULL,
    keys.BeginState.WRONG_SERVICE: _Code.WRONG_SERVICE,
}
