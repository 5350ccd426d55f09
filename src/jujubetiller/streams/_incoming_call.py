"""A call received from a peer."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from jujubetiller import calls
from jujubetiller.streams import _body_assembler, _memory_budget

if TYPE_CHECKING:
    from jujubetiller.streams import _server_stream


class IncomingCall:
    """A call from the receipt of its CALL frame until the reply."""

    __slots__ = (
        "arrived_at_ms",
        "assembler",
        "call_id",
        "cancel_handler",
        "kept_bytes",
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
        self.kept_bytes = 0
        """Length of the body, if it arrived in parts and the call has not ended."""

        self.cancel_handler: Callable[[], None] | None = None

    def reply(self, answer: calls.CallAnswer) -> None:
        """Send the answer, unless the call has ended."""
        stream = self.stream
        if stream is not None:
            self.stream = None
            self.cancel_handler = None
            self.drop_body(stream.context.partial_bodies)
            stream.send_answer(self.call_id, answer)
        else:
            self.statistics.refusals["answer_after_end"] += 1

    def keep_body(self, budget: _memory_budget.MemoryBudget, length: int) -> None:
        """Count the complete body until the call has ended."""
        self.drop_assembler()
        self.kept_bytes = length
        budget.kept_bytes += length

    def drop_body(self, budget: _memory_budget.MemoryBudget) -> None:
        """Count the body, or the received parts of it, no more."""
        self.drop_assembler()
        kept_bytes, self.kept_bytes = self.kept_bytes, 0
        budget.kept_bytes -= kept_bytes

    def drop_assembler(self) -> None:
        """Discard the received parts of the body and release their memory."""
        assembler = self.assembler
        if assembler is not None:
            self.assembler = None
            assembler.release()
