"""Construction of the components that the calls of a node share."""

import random
import uuid
from typing import Any

from jujubetiller import (
    clock,
    crashes,
    keys,
    limits,
    membership,
    metrics,
    notices,
    pressure,
    records,
    retries,
    routing,
    settings,
    target,
    tickets,
)
from jujubetiller.node import (
    _limits_in_force,
    _node_parts,
    _node_state,
    _target_headers,
)

NO_IDENTITY_HEADERS = ()
"""Callers of this interface have no header that names them."""


def build_parts(
    reactor: Any,
    time_source: clock.Clock,
    unix_clock: clock.Clock,
    random_source: random.Random,
    node_settings: settings.NodeSettings,
) -> _node_parts.NodeParts:
    """Return the components of a node that has not been started.

    In a running node, ``random_source`` must be seeded by the operating system.
    """
    boot_id = uuid.UUID(int=random_source.getrandbits(128), version=4).hex
    signing_keys = node_settings.records.signing_keys
    pressure_table = pressure.PressureTable(
        time_source, random_source, node_settings.pressure
    )
    guard = limits.build_guard(time_source, node_settings.limits)
    target_client = target.TargetClient(reactor, time_source, node_settings.target)
    watch = crashes.TargetWatch(time_source, target_client)
    recorder = notices.NoticeRecorder(guard, _target_headers.NOTICE_NAMES)
    ticket_state = tickets.TicketState(node_settings.control)
    return _node_parts.NodeParts(
        reactor=reactor,
        clock=time_source,
        random=random_source,
        settings=node_settings,
        state=_node_state.NodeState(boot_id),
        tickets=ticket_state,
        freshness=membership.PlatformFreshness(time_source),
        router=routing.Router(
            time_source, random_source, node_settings.routing, node_settings.zone
        ),
        guard=guard,
        notices=recorder,
        target=target_client,
        watch=watch,
        containment=crashes.CrashContainment(
            reactor,
            time_source,
            node_settings.crashes,
            watch,
            f"{node_settings.instance}.{boot_id}",
            NO_IDENTITY_HEADERS,
            lambda: recorder.is_leaving,
        ),
        contexts=retries.ContextTable(
            random_source,
            node_settings.retries,
            node_settings.limits.max_calls,
            node_settings.records.max_hops,
        ),
        retry_policy=retries.RetryPolicy(
            time_source, random_source, node_settings.retries
        ),
        client_retries=retries.ClientRetries(
            unix_clock,
            random_source,
            node_settings.retries,
            retries.RetryTokenSigner(signing_keys),
        ),
        key_signer=keys.KeySigner(signing_keys),
        executions=keys.ExecutionTable(
            time_source,
            node_settings.keys,
            node_settings.instance,
            node_settings.service,
            boot_id,
        ),
        pressure_table=pressure_table,
        admission=pressure.EntryAdmission(pressure_table, random_source),
        metrics=metrics.NodeMetrics(),
        record_signer=records.RecordSigner(
            signing_keys, node_settings.records.max_hops
        ),
        limits_in_force=_limits_in_force.LimitsInForce(
            ticket_state, guard, node_settings.service, node_settings.limits
        ),
        guard_timer=limits.GuardTimer(reactor, time_source, guard),
    )
