"""A request to seal an execution key, sent to its owner."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import logbook

from jujubetiller import codes
from jujubetiller.streams import _outgoing, _stream_context

if TYPE_CHECKING:
    from jujubetiller.streams import _caller_stream

_LOG = logbook.Logger("jujubetiller.streams")


class OutgoingSeal(_outgoing.Outgoing):
    """One seal request; its result is False unless it is confirmed in time."""

    __slots__ = ("bucket", "call_id", "context", "key", "on_result", "stream")

    def __init__(
        self,
        context: _stream_context.StreamContext,
        key: str,
        timeout_ms: float,
        on_result: Callable[[bool], None],
    ) -> None:
        self.context = context
        self.key = key
        self.on_result: Callable[[bool], None] | None = on_result
        self.call_id = 0
        self.stream: _caller_stream.CallerStream | None = None
        self.bucket = context.wheel.add(self, context.clock.now_ms() + timeout_ms)

    def has_ended(self) -> bool:
        """Return whether the result was delivered."""
        return self.on_result is None

    def send_on(self, stream: "_caller_stream.CallerStream") -> None:
        """Write the SEAL frame."""
        stream.send_seal(self)

    def refuse(self, code: codes.ResultCode) -> None:
        """Deliver False: the request was not written or its stream was lost."""
        self.context.statistics.refusals[f"seal_{code.name.lower()}"] += 1
        self.finish(False)

    def expire(self) -> None:
        """Deliver False: no confirmation was received before the timeout."""
        self.context.statistics.refusals["seal_timeout"] += 1
        if self.stream is not None:
            self.stream.drop_seal(self.call_id)
        self.finish(False)

    def finish(self, confirmed: bool) -> None:
        """Deliver the result, unless it was delivered before."""
        on_result = self.on_result
        if on_result is None:
            return
        self.on_result = None
        self.context.wheel.remove(self, self.bucket)
        try:
            on_result(confirmed)
        except Exception:
            _LOG.exception("seal result callback failed")
            self.context.statistics.refusals["answer_callback_failed"] += 1
