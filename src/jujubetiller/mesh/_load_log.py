"""A periodic log line about the load of the node's target."""

import itertools

import logbook

from jujubetiller.mesh import _mesh_parts

_LOG = logbook.Logger("jujubetiller.mesh.load")

INTERVAL_MS = 1_000.0

MAX_LIMITED = 8
"""Instances with a rate limit that are logged each time."""


class LoadLog:
    """Logs the guard's state once a second while calls wait or are refused.

    The log line of a request contains its queueing delay; this one shows the cause:
    a slow target, too few slots, or more calls than the target's capacity. While the
    target names a rate limit, a second line compares it with the rate of calls. A third
    one tells what this node sends to each instance with a rate limit.
    """

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        self.parts = parts
        self.written_at_ms = parts.clock.now_ms()
        self.refused = 0
        self.rate_limited_refusals = 0
        self.sent_by_instance: dict[str, int] = {}

    def write_if_due(self) -> None:
        """Write the line if it is due and calls wait or were refused."""
        now_ms = self.parts.clock.now_ms()
        if now_ms - self.written_at_ms < INTERVAL_MS:
            return
        self.written_at_ms = now_ms
        guard = self.parts.guard
        self.write_rate_limit()
        self.write_limited_instances()
        refused = sum(guard.refusals.values())
        refused_before, self.refused = self.refused, refused
        if not guard.queue_length and refused == refused_before:
            return
        _LOG.info(
            "calls wait for the target",
            extra={
                "limit": guard.limit,
                "in_flight": guard.in_flight,
                "queue_length": guard.queue_length,
                "run_ms": round(guard.mean_run_ms, 1),
                "refused": refused - refused_before,
            },
        )

    def write_limited_instances(self) -> None:
        """Write the instances with a rate limit that this node sends calls to."""
        router = self.parts.router
        now_ms = self.parts.clock.now_ms()
        refused = router.rate_limited_refusals
        refused_before, self.rate_limited_refusals = self.rate_limited_refusals, refused
        for name, stats in itertools.islice(router.rate_limited.items(), MAX_LIMITED):
            sent = stats.sent - self.sent_by_instance.get(name, 0)
            if not sent and refused == refused_before:
                continue
            _LOG.info(
                "calls to an instance with a rate limit",
                extra={
                    "instance": name,
                    "limit_per_s": stats.rate.limit_per_s,
                    "age_ms": round(now_ms - stats.rate.stated_at_ms, 1),
                    "share": round(stats.rate.read(now_ms), 3),
                    "sent": sent,
                    "refused": refused - refused_before,
                },
            )
        self.sent_by_instance = {
            name: stats.sent for name, stats in router.rate_limited.items()
        }

    def write_rate_limit(self) -> None:
        """Write the rate limit that the target names, and the rates that it gets."""
        guard = self.parts.guard
        if guard.rate_limit.per_s is None:
            return
        _LOG.info(
            "target limits its rate",
            extra={
                "limit_per_s": guard.rate_limit.per_s,
                "age_ms": round(guard.rate_limit.age_ms(), 1),
                **guard.describe_rates(),
            },
        )
