"""A call received from a peer."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from jujubetiller import calls
from jujubetiller.streams import _body_assembler

if TYPE_CHECKING:
    from jujubetiller.streams import _server_stream


class IncomingCall:
    """A call from the receipt of its CALL frame until the reply."""

    __slots__ = (
        "arrived_at_ms",
        "assembler",
        "call_id",
        "cancel_handler",
        "request",
        "statistics",
        "stream",
    )

    def __init__(
        self,
        stream: "_server_stream.ServerStream",
        call_id: int,
        request: calls.CallRequest,
        arrived_at_ms: float,
    ) -> None:
        self.stream: _server_stream.ServerStream | None = stream
        """The stream that the reply is sent on; None once the call has ended."""

        self.statistics = stream.context.statistics
        self.call_id = call_id
        self.request: calls.CallRequest | None = request
        self.arrived_at_ms = arrived_at_ms
        self.assembler: _body_assembler.BodyAssembler | None = None
        self.cancel_handler: Callable[[], None] | None = None

    def reply(self, answer: calls.CallAnswer) -> None:
        """Send the answer, unless the call has ended."""
        stream = self.stream
        if stream is not None:
            self.stream = None
            self.cancel_handler = None
            self.drop_assembler()
            stream.send_answer(self.call_id, answer)
        else:
            self.statistics.refusals["answer_after_end"] += 1

    def drop_assembler(self) -> None:
        """Discard the received parts of the body and release their memory."""
        assembler = self.assembler
        if assembler is not None:
            self.assembler = None
            assembler.release()
