"""The frame classes by type number."""

from jujubetiller.frames import (
    _answer,
    _call,
    _cancel,
    _credit,
    _data,
    _digest,
    _frame,
    _goaway,
    _hello,
    _ping,
    _pong,
    _pull,
    _push,
    _reconcile,
    _reconciled,
    _seal,
    _sealed,
)

FRAME_CLASSES: dict[int, type[_frame.Frame]] = {
    frame_class.TYPE: frame_class
    for frame_class in (
        _hello.Hello,
        _call.Call,
        _data.Data,
        _answer.Answer,
        _cancel.Cancel,
        _credit.Credit,
        _ping.Ping,
        _pong.Pong,
        _goaway.Goaway,
        _seal.Seal,
        _sealed.Sealed,
        _digest.Digest,
        _pull.Pull,
        _push.Push,
        _reconcile.Reconcile,
        _reconciled.Reconciled,
    )
}
