"""The settings of a node whose callers and targets send no execution keys."""

import attrs

from jujubetiller.settings import (
    _address,
    _connection_settings,
    _crash_settings,
    _feature_settings,
    _fields,
    _limit_settings,
    _log_settings,
    _memory_settings,
    _quota_settings,
    _repeat_settings,
    _routing_settings,
    _store_settings,
    _stream_settings,
    _target_settings,
    _team_settings,
)


@attrs.frozen
class MeshListenSettings:
    """The addresses that a node listens on."""

    egress: _address.Address
    """Requests of clients and of the target on the same VM."""

    peer: _address.Address
    """Streams of other nodes; the port is the same on all VMs."""

    readiness: _address.Address
    metrics: _address.Address


@attrs.frozen
class MeshSettings:
    """All settings of a node whose callers and targets send no execution keys."""

    node: str = attrs.field(validator=_fields.check_name)
    """The name of the node, unique in the fleet."""

    service: str = attrs.field(validator=_fields.check_name)
    """The service that the node's target runs."""

    zone: str = attrs.field(validator=_fields.check_name)
    listen: MeshListenSettings
    target: _target_settings.TargetSettings
    store: _store_settings.StoreSettings
    repeats: _repeat_settings.RepeatSettings = _repeat_settings.RepeatSettings()
    streams: _stream_settings.StreamSettings = _stream_settings.StreamSettings()
    limits: _limit_settings.LimitSettings = _limit_settings.LimitSettings()
    crashes: _crash_settings.CrashSettings = _crash_settings.CrashSettings()
    routing: _routing_settings.RoutingSettings = _routing_settings.RoutingSettings()
    teams: _team_settings.TeamSettings = _team_settings.TeamSettings()
    quotas: _quota_settings.QuotaSettings = _quota_settings.QuotaSettings()
    features: _feature_settings.FeatureSettings = _feature_settings.FeatureSettings()
    memory: _memory_settings.MemorySettings = _memory_settings.MemorySettings()
    connections: _connection_settings.ConnectionSettings = (
        _connection_settings.ConnectionSettings()
    )
    logs: _log_settings.LogSettings = _log_settings.LogSettings()

    grace_ms: int = _fields.whole_number(6_000, 100, 600_000)
    """The longest time between SIGTERM and the end of the process."""

    exchange_ms: int = _fields.whole_number(500, 50, 60_000)
    """Pause between two requests to readers of the store for missing changes."""
