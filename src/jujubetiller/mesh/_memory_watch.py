"""The memory account of a running node."""

import logbook

from jujubetiller import memory, metrics
from jujubetiller.mesh import _mesh_parts

_LOG = logbook.Logger("jujubetiller.mesh")

CHECK_INTERVAL_MS = 100.0

LOG_INTERVAL_MS = 1_000.0
"""At most one line about refusals is logged in this time."""

MS_PER_SECOND = 1_000.0


class MemoryWatch:
    """Connects the account with the parts of a node, and checks it periodically."""

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        self.parts = parts
        self.account = parts.account
        self.relief = memory.Relief(self.account)
        self.resident = memory.ResidentLimit(self.account, memory.OwnProcessMemory())
        self.logged_refused = 0
        """Refused requests up to the latest line."""

        self.logged_closed = 0
        """Closed connections up to the latest line."""

        self.logged_at_ms = 0.0

    def start(self) -> None:
        """Have the pool and the target's client use the account, and check it."""
        account = self.account
        bodies = self.parts.pool.context.partial_bodies
        bodies.has_room = account.has_room
        self.parts.target.memory.has_room = account.has_room
        account.sources["peers"] = bodies.held_bytes
        account.sources["target"] = lambda: self.parts.target.memory.held_bytes
        self.parts.metrics.export(make_groups(account))
        self.check()

    def check(self) -> None:
        """Measure what is held, and relieve the node if it holds too much."""
        # Scheduled first, so that an exception below does not end the checks.
        self.parts.reactor.callLater(CHECK_INTERVAL_MS / MS_PER_SECOND, self.check)
        self.account.sampled["peer_answers"] = self.parts.pool.count_unsent()
        self.resident.check(self.parts.settings.memory.limit_mb)
        self.relief.check()
        self.log_if_due()

    def log_if_due(self) -> None:
        """Log how many requests and connections the account has ended since."""
        account = self.account
        refused = account.refused - self.logged_refused
        closed = account.closed - self.logged_closed
        now_ms = account.clock.now_ms()
        is_due = now_ms >= self.logged_at_ms + LOG_INTERVAL_MS
        if not is_due or not (refused or closed):
            return
        _LOG.warning(
            "requests refused or connections closed for lack of memory",
            extra={
                "refused": refused,
                "closed": closed,
                "holders": len(account.holders),
                "oldest_ms": account.oldest_age_ms(),
                "uncounted": self.resident.uncounted_bytes,
                **account.read_bytes(),
            },
        )
        self.logged_refused, self.logged_closed = account.refused, account.closed
        self.logged_at_ms = now_ms


def make_groups(account: memory.MemoryAccount) -> list[metrics.CounterGroup]:
    """Return the metrics of the account."""
    return [
        metrics.CounterGroup(
            "memory_bytes",
            "Memory held for others by kind of holder, and its limit.",
            account.read_bytes,
            is_counter=False,
        ),
        metrics.CounterGroup(
            "memory_age_seconds",
            "Time for which the oldest connection has held memory.",
            lambda: {"oldest": account.oldest_age_ms() / MS_PER_SECOND},
            is_counter=False,
        ),
        metrics.CounterGroup(
            "memory_events",
            "Requests refused, connections closed and pauses for lack of memory.",
            account.read_events,
        ),
    ]
