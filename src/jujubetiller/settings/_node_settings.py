"""The settings of one node."""

import attrs

from jujubetiller.settings import (
    _control_settings,
    _crash_settings,
    _fields,
    _key_settings,
    _limit_settings,
    _listen_settings,
    _log_settings,
    _platform_settings,
    _pressure_settings,
    _record_settings,
    _retry_settings,
    _routing_settings,
    _stream_settings,
    _target_settings,
)


@attrs.frozen
class NodeSettings:
    """All settings of a node, which it reads once when it starts."""

    instance: str = attrs.field(validator=_fields.check_name)
    """The name of the instance, unique in the fleet."""

    service: str = attrs.field(validator=_fields.check_name)
    """The service that the instance runs."""

    zone: str = attrs.field(validator=_fields.check_name)
    """The availability zone of the VM."""

    listen: _listen_settings.ListenSettings
    target: _target_settings.TargetSettings
    platform: _platform_settings.PlatformSettings
    records: _record_settings.RecordSettings
    streams: _stream_settings.StreamSettings = _stream_settings.StreamSettings()
    limits: _limit_settings.LimitSettings = _limit_settings.LimitSettings()
    pressure: _pressure_settings.PressureSettings = (
        _pressure_settings.PressureSettings()
    )
    retries: _retry_settings.RetrySettings = _retry_settings.RetrySettings()
    keys: _key_settings.KeySettings = _key_settings.KeySettings()
    crashes: _crash_settings.CrashSettings = _crash_settings.CrashSettings()
    control: _control_settings.ControlSettings = _control_settings.ControlSettings()
    routing: _routing_settings.RoutingSettings = _routing_settings.RoutingSettings()
    logs: _log_settings.LogSettings = _log_settings.LogSettings()
