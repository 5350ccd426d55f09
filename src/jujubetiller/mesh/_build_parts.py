"""Creates the components of a node."""

import random
from collections.abc import Callable
from typing import Any

from jujubetiller import (
    admission,
    clock,
    congestion,
    crashes,
    limits,
    logs,
    memory,
    metrics,
    notices,
    published,
    routing,
    settings,
    target,
)
from jujubetiller.mesh import (
    _configuration_in_force,
    _header_names,
    _instance_directory,
    _key_check,
    _mesh_parts,
    _mesh_state,
    _retry_budget,
)

REFUSAL_KINDS = 8
"""Kinds of log lines about refusals that are limited one by one."""

HOST = "host"
"""The header that names the host to which a request is addressed."""

_ROUTERS: dict[str, type[routing.Router]] = {
    "latency": routing.LatencyWeightedRouter,
    "room": routing.RoomWeightedRouter,
}


def build_parts(
    reactor: Any,
    time_source: clock.Clock,
    random_source: random.Random,
    node_settings: settings.MeshSettings,
    headers: _header_names.HeaderNames,
    decoder: published.ItemDecoder,
    is_settled: Callable[[published.Revision], bool],
    boot_id: str,
    boot_clock: clock.Clock,
) -> _mesh_parts.MeshParts:
    """Return the components of a node, without ``pool``, ``prober`` and ``quota``."""
    router = _ROUTERS[node_settings.features.placing](
        time_source, random_source, node_settings.routing, node_settings.zone
    )
    guard = limits.build_guard(
        time_source, node_settings.limits, node_settings.features
    )
    configuration = _configuration_in_force.ConfigurationInForce(
        decoder, node_settings.node
    )
    directory = _instance_directory.InstanceDirectory(
        decoder,
        router,
        node_settings.target.address,
        node_settings.listen.peer.port,
        is_settled,
        configuration.is_service,
    )
    target_client = target.TargetClient(
        reactor,
        time_source,
        node_settings.target,
        close_ends_answer=True,
        requires_echo=True,
    )
    watch = crashes.TargetWatch(time_source, target_client)
    state_age = published.StateAge(boot_clock)
    recorder = notices.NoticeRecorder(guard, headers.notices)
    return _mesh_parts.MeshParts(
        reactor=reactor,
        clock=time_source,
        random=random_source,
        settings=node_settings,
        headers=headers,
        state=_mesh_state.MeshState(),
        configuration=configuration,
        directory=directory,
        router=router,
        guard=guard,
        guard_timer=limits.GuardTimer(reactor, time_source, guard),
        notices=recorder,
        target=target_client,
        watch=watch,
        containment=crashes.CrashContainment(
            reactor,
            time_source,
            node_settings.crashes,
            watch,
            f"{node_settings.node}.{boot_id}",
            (HOST, headers.caller_service),
            lambda: recorder.is_leaving or directory.is_own_leaving(),
        ),
        budget=_retry_budget.RetryBudget(
            time_source, node_settings.repeats, lambda: directory.node_count
        ),
        metrics=metrics.NodeMetrics(),
        delays=congestion.PeakDelay(time_source),
        callers=congestion.CallerShares(),
        throttles=congestion.Throttles(time_source, random_source),
        refusal_log=logs.MessageRateLimiter(
            time_source, node_settings.logs.repeats_per_second, REFUSAL_KINDS
        ),
        state_age=state_age,
        keys=_key_check.KeyCheck(state_age, node_settings.teams, headers.authorization),
        account=memory.MemoryAccount(
            time_source, memory.find_limit_bytes(node_settings.memory.limit_mb)
        ),
        admission=admission.build_node_admission(
            node_settings, time_source, random_source, guard
        ),
    )
