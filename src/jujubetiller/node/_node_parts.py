"""The components that the calls of a node share."""

import random
from typing import Any

import attrs

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
    streams,
    target,
    tickets,
)
from jujubetiller.node import _limits_in_force, _node_state


@attrs.define
class NodeParts:
    """The components of a node, built once at the start."""

    reactor: Any
    clock: clock.Clock
    random: random.Random
    settings: settings.NodeSettings
    state: _node_state.NodeState
    tickets: tickets.TicketState
    freshness: membership.PlatformFreshness
    router: routing.Router
    guard: limits.TargetGuard
    notices: notices.NoticeRecorder
    target: target.TargetClient
    watch: crashes.TargetWatch
    containment: crashes.CrashContainment
    contexts: retries.ContextTable
    retry_policy: retries.RetryPolicy
    client_retries: retries.ClientRetries
    key_signer: keys.KeySigner
    executions: keys.ExecutionTable
    pressure_table: pressure.PressureTable
    admission: pressure.EntryAdmission
    metrics: metrics.NodeMetrics
    record_signer: records.RecordSigner
    limits_in_force: _limits_in_force.LimitsInForce
    guard_timer: limits.GuardTimer
    pool: streams.StreamPool = attrs.field(init=False)
    """Set once the handler of incoming streams exists."""
