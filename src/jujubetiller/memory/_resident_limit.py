"""A limit of the account that follows the resident memory."""

from jujubetiller.memory import _holder, _memory_account, _process_memory

WATCHED_SHARE = 0.25
"""Part of the account's limit above which the resident memory is watched."""

MARGIN_BYTES = 4 * _memory_account.MB
"""Left for what is allocated between two checks and not counted."""

RETURN_INTERVAL_MS = 2_000.0
"""Lowest interval between two attempts to return freed memory, which stop the event
loop for some milliseconds."""


class ResidentLimit:
    """Lowers the account's limit while uncounted memory is resident.

    This is memory that was freed but not returned, and whatever the account does not
    count. The VM counts all of it.
    """

    def __init__(
        self,
        account: _memory_account.MemoryAccount,
        process: _process_memory.ProcessMemory,
    ) -> None:
        self.account = account
        self.process = process
        self.uncounted_bytes = 0
        """Resident memory that the account did not count at the latest check."""

        self.holds_much = False
        """Whether more than ``WATCHED_SHARE`` was held at the latest check."""

        self.returns_later = False
        """Whether freed memory is to be returned although little is held by now."""

        self.returned_at_ms: float | None = None
        """When freed memory was last returned."""

    def check(self, limit_mb: int) -> None:
        """Set the account's limit; the process may use ``limit_mb`` MB."""
        account = self.account
        highest_bytes = _memory_account.find_limit_bytes(limit_mb)
        held_much = self.holds_much
        self.holds_much = account.total_bytes() > WATCHED_SHARE * highest_bytes
        self.returns_later |= held_much and not self.holds_much
        if self.holds_much or self.returns_later:
            self.return_if_due()
        elif self.uncounted_bytes <= _memory_account.OWN_BYTES:
            account.limit_bytes = highest_bytes
            return
        self.uncounted_bytes = self.read_uncounted() or 0
        left_bytes = limit_mb * _memory_account.MB - self.uncounted_bytes - MARGIN_BYTES
        lowest_bytes = _memory_account.MIN_LIMIT_BYTES
        account.limit_bytes = max(lowest_bytes, min(highest_bytes, left_bytes))

    def return_if_due(self) -> None:
        """Return freed memory if more is resident than a node needs by itself."""
        now_ms = self.account.clock.now_ms()
        returned_at_ms = self.returned_at_ms
        if returned_at_ms is not None and now_ms < returned_at_ms + RETURN_INTERVAL_MS:
            return
        self.returns_later = False
        uncounted_bytes = self.read_uncounted()
        if uncounted_bytes is not None and uncounted_bytes > _memory_account.OWN_BYTES:
            self.returned_at_ms = now_ms
            self.process.return_freed()

    def read_uncounted(self) -> int | None:
        """Return the resident memory that the account does not count."""
        resident_bytes = self.process.read_resident_bytes()
        if resident_bytes is None:
            return None
        account = self.account
        # Unread bytes are memory of the system, not of the process.
        counted_bytes = account.total_bytes() - account.held[_holder.Kind.UNREAD]
        return max(0, resident_bytes - counted_bytes)
