"""Who uses a node's share: the node itself, or a coordinator for a while."""

import math

import attrs

from jujubetiller import clock
from jujubetiller.quotas import _coordinator, _fleet_share, _messages, _team_limit

MAX_STAMP_AGE_MS = 1_000.0
"""Bound on the time that a delegation counts on two clocks, see the design note."""


@attrs.frozen
class _Stamp:
    """A time that a coordinator has named."""

    boot: int
    """The process that named it."""

    stamp_ms: float
    """The time, on the boot clock of the coordinator."""

    arrived_at_ms: float
    """When it arrived, on the own boot clock."""


class ShareHolder:
    """Keeps a node's share from being used by two processes at the same time."""

    def __init__(
        self,
        boot_clock: clock.Clock,
        coordinator: _coordinator.Coordinator,
        own_host: str,
        boot: int,
    ) -> None:
        self.clock = boot_clock
        self.coordinator = coordinator
        self.fleet = _fleet_share.FleetShare(boot_clock)
        self.own = _messages.Sender(own_host, boot)
        self.share = 0.0
        self.share_ends_ms = -math.inf
        self.delegated_to: str | None = None
        self.delegated_until_ms = -math.inf
        self.stamps: dict[str, _Stamp] = {}
        """The latest stamp, by host."""

    def update(self, hosts: frozenset[str], is_listed: bool, as_of_ms: float) -> None:
        """Apply the list of nodes, see ``FleetShare.update``."""
        lease = self.fleet.update(hosts, is_listed, as_of_ms)
        self.share, self.share_ends_ms = lease.share, lease.ends_ms
        if any(host not in hosts for host in self.stamps):
            self.stamps = {h: s for h, s in self.stamps.items() if h in hosts}

    def record_stamp(self, host: str, answer: _messages.Answer) -> None:
        """Keep the latest time that a coordinator has named."""
        now_ms = self.clock.now_ms()
        self.stamps[host] = _Stamp(answer.boot, answer.stamp_ms, now_ms)

    def use_own(self, number: int) -> None:
        """Use the share at this node, unless another one may still use it."""
        if self.share and self.clock.now_ms() >= self.delegated_until_ms:
            self.coordinator.record_share(
                self.own, number, self.share, self.share_ends_ms
            )

    def delegate(self, host: str) -> _messages.Delegation | None:
        """Delegate the share to ``host``, unless another one may still use it."""
        now_ms = self.clock.now_ms()
        stamp = self.stamps.get(host)
        is_free = host == self.delegated_to or now_ms >= self.delegated_until_ms
        valid_ms = min(_team_limit.DELEGATION_MS, self.share_ends_ms - now_ms)
        if stamp is None or not is_free or not self.share or valid_ms <= 0.0:
            return None
        life_ms = valid_ms + min(now_ms - stamp.arrived_at_ms, MAX_STAMP_AGE_MS)
        self.delegated_to = host
        self.delegated_until_ms = max(
            self.delegated_until_ms,
            now_ms + valid_ms + _team_limit.CLOCK_MARGIN * life_ms,
        )
        self.coordinator.remove_share(self.own)
        return _messages.Delegation(self.share, stamp.stamp_ms, stamp.boot, life_ms)

    def accept(self, question: _messages.Question) -> None:
        """Use the share in a question, if this process has named the stamp in it."""
        delegation = question.delegation
        if delegation is None or delegation.stamp_boot != self.own.boot:
            return
        if delegation.stamp_ms > self.clock.now_ms():
            return
        life_ms = min(delegation.life_ms, _team_limit.DELEGATION_MS + MAX_STAMP_AGE_MS)
        self.coordinator.record_share(
            _messages.Sender(question.sender, question.boot),
            question.number,
            delegation.share,
            delegation.stamp_ms + life_ms,
        )
