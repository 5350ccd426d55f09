"""The shares that a node uses for itself and for others."""

import math

import attrs

from jujubetiller.quotas import _messages

MAX_DELEGATIONS = 4_096


@attrs.frozen
class _Entry:
    number: int
    share: float
    until_ms: float


class Delegations:
    """The latest share of each sender, until its time has passed.

    A sender is a process, so that the share of a former process on the same VM is
    neither replaced nor prolonged by the next one.
    """

    def __init__(self) -> None:
        self.entries: dict[_messages.Sender, _Entry] = {}
        self.total = 0.0
        self.first_end_ms = math.inf
        self.refused = 0
        """Delegations that exceeded ``MAX_DELEGATIONS``."""

    def record(
        self,
        sender: _messages.Sender,
        number: int,
        share: float,
        until_ms: float,
        now_ms: float,
    ) -> None:
        """Use ``share`` until ``until_ms``, unless a later number is known."""
        known = self.entries.get(sender)
        if until_ms <= now_ms or (known is not None and known.number >= number):
            return
        if known is None and len(self.entries) >= MAX_DELEGATIONS:
            self.refused += 1
            return
        self.entries[sender] = _Entry(number, share, until_ms)
        self.first_end_ms = min(self.first_end_ms, until_ms)
        if known is None or known.share != share:
            self._sum()

    def remove(self, sender: _messages.Sender) -> None:
        """Use the share of ``sender`` no more."""
        if self.entries.pop(sender, None) is not None:
            self._sum()

    def expire(self, now_ms: float) -> None:
        """Remove the shares whose time has passed."""
        if now_ms < self.first_end_ms:
            return
        self.entries = {
            sender: entry
            for sender, entry in self.entries.items()
            if entry.until_ms > now_ms
        }
        ends = (entry.until_ms for entry in self.entries.values())
        self.first_end_ms = min(ends, default=math.inf)
        self._sum()

    def _sum(self) -> None:
        self.total = math.fsum(entry.share for entry in self.entries.values())
