"""The components that the calls of a node share."""

import random
from typing import TYPE_CHECKING, Any

import attrs

from jujubetiller import (
    admission,
    calls,
    clock,
    congestion,
    crashes,
    limits,
    logs,
    memory,
    metrics,
    notices,
    published,
    routes,
    routing,
    settings,
    streams,
    target,
)
from jujubetiller.mesh import (
    _configuration_in_force,
    _header_names,
    _instance_directory,
    _key_check,
    _mesh_state,
    _retry_budget,
)

if TYPE_CHECKING:
    from jujubetiller.mesh import _peer_prober, _quota_exchange


FINISH_FACTOR = 3.0
"""A call is taken to need this many times its usual duration at most."""


@attrs.define
class MeshParts:
    """The components of one node.

    ``prober`` and ``quota`` are set by the node's constructor, ``pool`` when the node
    starts.
    """

    reactor: Any
    clock: clock.Clock
    random: random.Random
    settings: settings.MeshSettings
    headers: _header_names.HeaderNames
    state: _mesh_state.MeshState
    configuration: _configuration_in_force.ConfigurationInForce
    directory: _instance_directory.InstanceDirectory
    router: routing.Router
    guard: limits.TargetGuard
    guard_timer: limits.GuardTimer
    notices: notices.NoticeRecorder
    target: target.TargetClient
    watch: crashes.TargetWatch
    containment: crashes.CrashContainment
    budget: _retry_budget.RetryBudget
    metrics: metrics.NodeMetrics
    delays: congestion.PeakDelay
    callers: congestion.CallerShares
    throttles: congestion.Throttles
    refusal_log: logs.MessageRateLimiter
    """Limits the log lines of requests that are refused where they enter."""

    state_age: published.StateAge
    keys: _key_check.KeyCheck
    account: memory.MemoryAccount
    admission: admission.NodeAdmission | None
    """None unless the settings ask for admission by cost."""

    pool: streams.StreamPool = attrs.field(init=False)
    prober: "_peer_prober.PeerProber" = attrs.field(init=False)
    quota: "_quota_exchange.QuotaExchange" = attrs.field(init=False)

    def can_finish(self, needed_ms: float) -> bool:
        """Return whether a call that needs ``needed_ms`` ends before the node stops."""
        ends_at_ms = self.state.ends_at_ms
        if ends_at_ms is None:
            return True
        return needed_ms <= ends_at_ms - self.clock.now_ms()

    def can_finish_request(
        self, service: str, route: routes.Route, deadline: calls.Deadline
    ) -> bool:
        """Return whether a client's request of ``route`` ends before the node stops.

        Once clients have had time to detect the stop, its deadline decides: some
        requests take far longer than usual, and these clients can go elsewhere. Before
        that, the request is taken to need its latency objective as long as its usual
        duration is not known.
        """
        if self.state.refuses_clients:
            return self.can_finish(deadline.left_ms(self.clock))
        usual_ms = self.router.average_ms(service, route.name)
        if usual_ms is None:
            return self.can_finish(route.latency_objective_ms)
        return self.can_finish(FINISH_FACTOR * usual_ms)

    def is_leaving(self, instance: str) -> bool:
        """Return whether ``instance`` is listed as leaving, or has said so itself."""
        if instance == self.notices.instance and self.notices.is_leaving:
            return True
        return self.directory.is_leaving(instance)

    def is_ready(self) -> bool:
        """Return whether the node can route requests as its peers do."""
        return (
            self.state.is_compared
            and self.configuration.current is not None
            and bool(self.directory.listed)
        )
