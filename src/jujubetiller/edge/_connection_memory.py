"""The memory that one connection holds."""

from typing import TYPE_CHECKING, Any

from jujubetiller import codes, memory, transports

if TYPE_CHECKING:
    from jujubetiller.edge import _pipelined_connection

MIN_COUNTED_BYTES = 2_048
"""A connection that holds less is not entered in the account."""

UNREAD_BYTES = 65_536
"""What the system is taken to hold for a connection when its reading stops, until that
is known."""

MIN_PROGRESS_BYTES = 4_096
"""A client that sends or takes less makes no progress."""


class ConnectionMemory(memory.HolderOwner):
    """Enters what a connection holds in the account, and stops its reading."""

    def __init__(
        self,
        account: memory.MemoryAccount,
        connection: "_pipelined_connection.PipelinedConnection",
    ) -> None:
        self.account = account
        self.connection = connection
        self.holder = memory.Holder(account, self)
        self.held_back = False
        self.unsent_bytes = 0
        self.unmarked_bytes = 0
        """Bytes received since progress was recorded."""

        self.unmarked_taken_bytes = 0
        """Bytes that the client took since then."""

    def receive(self, received: int) -> None:
        """Count what was received, which may stop the reading."""
        self.measure()
        holder = self.holder
        if not holder.held_bytes:
            return
        self.unmarked_bytes += received
        if self.unmarked_bytes >= MIN_PROGRESS_BYTES:
            self.unmarked_bytes = 0
            holder.record_progress()
        if not holder.held[memory.Kind.READING]:
            # All requests are complete: there is none to refuse, and not reading the
            # next one would free nothing.
            return
        if holder.held_bytes > memory.SMALL_BYTES and self.account.is_exhausted():
            self.account.refused += 1
            self.connection.refuse_request(codes.ResultCode.NODE_MEMORY_FULL)
        elif not self.account.may_grow(holder):
            self.account.paused += 1
            self.held_back = True
            self.connection.pause()
            holder.set(memory.Kind.UNREAD, UNREAD_BYTES)

    def refuse_waiting(self) -> None:
        """Refuse a complete request that has to wait, if the account takes no more.

        One read can bring thousands of them, each of which occupies far more than was
        received.
        """
        self.measure()
        account = self.account
        may_wait = account.may_wait(self.connection.waiting.is_full())
        if not may_wait or account.is_exhausted():
            account.refused += 1
            self.connection.refusal = codes.ResultCode.NODE_MEMORY_FULL

    def measure(self) -> None:
        """Enter what is held in the account."""
        connection, holder = self.connection, self.holder
        reading = connection.count_read_bytes()
        requests = connection.running_bytes
        waiting = connection.waiting.held_bytes
        unsent = transports.count_unsent(connection.transport)
        if connection.sender is not None:
            unsent += connection.sender.unsent_bytes()
        self.measure_taken(unsent)
        answers = unsent + connection.answer_bytes
        if reading + requests + waiting + answers < MIN_COUNTED_BYTES:
            if not holder.held_bytes:
                return
            reading = requests = waiting = answers = 0
        holder.set(memory.Kind.READING, reading)
        holder.set(memory.Kind.REQUESTS, requests)
        holder.set(memory.Kind.WAITING, waiting)
        holder.set(memory.Kind.ANSWERS, answers)
        if not self.held_back:
            return
        holder.set(memory.Kind.UNREAD, transports.count_unread(connection.transport))
        if not reading:
            # Relief resumes only connections that are entered in the account.
            self.resume_reading()

    def measure_taken(self, unsent_bytes: int) -> None:
        """Record progress if the client has taken a part of an answer."""
        self.unmarked_taken_bytes += max(0, self.unsent_bytes - unsent_bytes)
        if self.unmarked_taken_bytes >= MIN_PROGRESS_BYTES:
            self.unmarked_taken_bytes = 0
            self.holder.record_progress()
        self.unsent_bytes = unsent_bytes

    def is_held_back(self) -> bool:
        """Return whether it is not read because of the memory that it holds."""
        return self.held_back

    def waits_for_client(self) -> bool:
        """Return whether the client has to send or take something."""
        if self.connection.paused_at_ms is not None:
            return False
        if self.unsent_bytes > 0:
            return True
        is_reading = self.holder.held[memory.Kind.READING] > 0
        return is_reading and not self.connection.continue_is_due

    def resume_reading(self) -> None:
        """Read a connection that is held back."""
        self.held_back = False
        self.holder.set(memory.Kind.UNREAD, 0)
        self.holder.record_progress()
        if not self.connection.waiting.is_full():
            self.connection.resume()

    def close_for_memory(self) -> None:
        """Refuse the request that is read; an answer that is not taken is dropped.

        The account does not count the connection afterwards, so that the relief closes
        no more connections than it has to.
        """
        if self.unsent_bytes:
            transport: Any = self.connection.transport
            self.connection.memory = None
            # The transport reports the abort only in a later turn of the reactor.
            self.holder.release()
            transport.abortConnection()
            return
        self.connection.refuse_request(codes.ResultCode.NODE_MEMORY_FULL)
        if self.holder.owner is not None:
            self.measure()
