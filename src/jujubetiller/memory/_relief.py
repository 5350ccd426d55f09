"""Relief of a node that holds too much memory."""

from jujubetiller.memory import _holder, _memory_account, _stalled_holders


class Relief:
    """Closes connections without progress, and resumes those that are held back."""

    def __init__(self, account: _memory_account.MemoryAccount) -> None:
        self.account = account
        self.privileged: _holder.Holder | None = None

    def check(self) -> None:
        """Measure all holders, and act while the account is under pressure.

        While all connections that hold much are held back, the oldest is read on:
        requests that are never read to their end would never free their memory.
        """
        account = self.account
        for holder in tuple(account.holders):
            if holder.owner is not None:
                holder.owner.measure()
        if account.is_under_pressure():
            self._close_stalled()
        if account.is_exhausted():
            self._close_held_back()
        if account.is_under_pressure():
            self._choose_privileged()
            return
        self._end_privilege()
        for holder in tuple(account.holders):
            if holder.owner is not None and holder.owner.is_held_back():
                holder.owner.resume_reading()

    def _close_stalled(self) -> None:
        account = self.account
        now_ms = account.clock.now_ms()
        for holder in _stalled_holders.list_stalled(account.holders, now_ms):
            if not account.is_under_pressure():
                return
            assert holder.owner is not None
            account.closed += 1
            holder.owner.close_for_memory()

    def _close_held_back(self) -> None:
        """Close connections that are not read until the sum is below the limit.

        The bytes that the system holds for them cannot be refused.
        """
        account = self.account
        held_back = [
            holder
            for holder in account.holders
            if holder.owner is not None and holder.owner.is_held_back()
        ]
        for holder in sorted(held_back, key=lambda holder: holder.progress_ms):
            if not account.is_exhausted():
                return
            assert holder.owner is not None
            account.closed += 1
            holder.owner.close_for_memory()

    def _choose_privileged(self) -> None:
        privileged = self.privileged
        if privileged is not None and privileged.held[_holder.Kind.READING]:
            return
        self._end_privilege()
        # In the order in which they began to hold memory.
        for holder in self.account.holders:
            if holder.owner is not None and holder.owner.is_held_back():
                self.privileged = holder
                holder.is_privileged = True
                holder.owner.resume_reading()
                return

    def _end_privilege(self) -> None:
        privileged, self.privileged = self.privileged, None
        if privileged is not None:
            privileged.is_privileged = False
