"""The settings of a node, written in JSON and checked before use."""

from jujubetiller.settings._address import Address
from jujubetiller.settings._connection_settings import ConnectionSettings
from jujubetiller.settings._control_settings import ControlSettings
from jujubetiller.settings._crash_settings import CrashSettings
from jujubetiller.settings._feature_settings import FeatureSettings
from jujubetiller.settings._key_settings import KeySettings
from jujubetiller.settings._limit_settings import LimitSettings
from jujubetiller.settings._listen_settings import ListenSettings
from jujubetiller.settings._load import load_settings
from jujubetiller.settings._log_settings import LogSettings
from jujubetiller.settings._memory_settings import MemorySettings
from jujubetiller.settings._mesh_settings import MeshListenSettings, MeshSettings
from jujubetiller.settings._node_settings import NodeSettings
from jujubetiller.settings._platform_settings import PlatformSettings
from jujubetiller.settings._pressure_settings import PressureSettings
from jujubetiller.settings._quota_settings import QuotaSettings
from jujubetiller.settings._record_settings import RecordSettings
from jujubetiller.settings._repeat_settings import RepeatSettings
from jujubetiller.settings._retry_settings import RetrySettings
from jujubetiller.settings._routing_settings import RoutingSettings
from jujubetiller.settings._store_settings import StoreSettings
from jujubetiller.settings._stream_settings import StreamSettings
from jujubetiller.settings._target_settings import TargetSettings
from jujubetiller.settings._team_settings import TeamSettings

__all__ = [
    "CrashSettings",
    "Address",
    "ConnectionSettings",
    "ControlSettings",
    "FeatureSettings",
    "KeySettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "MemorySettings",
    "MeshListenSettings",
    "MeshSettings",
    "NodeSettings",
    "PlatformSettings",
    "PressureSettings",
    "QuotaSettings",
    "RecordSettings",
    "RepeatSettings",
    "RetrySettings",
    "RoutingSettings",
    "StoreSettings",
    "StreamSettings",
    "TargetSettings",
    "TeamSettings",
    "load_settings",
]
