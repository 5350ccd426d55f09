"""The settings file of the platform."""

import tomllib
from typing import Any

import attrs
import result

from jujubetiller import codes, published, schema, settings
from jujubetiller.platform import _fields

SETTINGS_VARIABLE = "JUJUBETILLER_CONFIG"
"""The environment variable with the path of the settings file."""

MAX_BODY_BYTES = 67_108_864
"""The streams accept bodies up to the largest limit that a configuration sets."""

REPEATED_LOG_LINES_PER_SECOND = 20

MAX_SLACK = 1_000_000.0
"""Highest number of retries that the fleet may send beyond the ratio."""

MAX_RETRY_RATIO = 5.0
"""Highest ratio of the retries of the fleet to its requests."""

RETRY_RATIO_SHARE = 0.2
"""Part of the fleet's ratio that a node keeps to. A retry also causes the calls below
it again, so each of five layers may use a fifth."""

MIN_WINDOW_MS = 100.0
MAX_WINDOW_MS = 600_000.0
"""Bounds on the time in which retries are counted."""

BUDGET_SLACK_SHARE = 0.75
"""Part of the fleet's slack that nodes divide; the rest covers nodes that count fewer
nodes than there are, and calls that a repeated request makes."""


IDLE_STREAM_MS = 10_000
"""A stream without a call is closed after this time, as it still costs heartbeats."""

EXCHANGE_SHARE = 0.35
"""Part of the time in which a configuration must be in force, after which a node asks
a reader of the store again."""

MIN_EXCHANGE_MS = 200.0

MIN_PRIMARY_WAIT_MS = 500
"""A primary reader that waited less would cost too many reads."""


def load_settings(
    text: bytes, features: settings.FeatureSettings | None = None
) -> result.Result[settings.MeshSettings, codes.Problem]:
    """Return the settings in the TOML document ``text``; unknown fields are ignored.

    ``features`` is not part of the document.
    """
    try:
        translated = _translate(tomllib.loads(text.decode()))
        if features is not None:
            translated = attrs.evolve(translated, features=features)
        return result.Ok(translated)
    except schema.FieldError as error:
        return result.Err(
            codes.Problem(codes.ResultCode.BAD_SETTINGS, error.field, str(error))
        )
    except ValueError as error:
        return result.Err(
            codes.Problem(codes.ResultCode.BAD_SETTINGS, "document", str(error))
        )


def _translate(document: dict[str, Any]) -> settings.MeshSettings:
    bounds = _fields.read(document, "bounds", dict)
    limits = _fields.read(document, "limits", dict, {})
    connections = _translate_connections(limits)
    return settings.MeshSettings(
        node=_fields.read_text(document, "node_id"),
        service=_fields.read_text(document, "service"),
        zone=_fields.read_text(document, "zone"),
        listen=_translate_listen(document),
        target=settings.TargetSettings(
            address=_fields.read_address(document, "app_addr"), connect_timeout_ms=500
        ),
        store=_translate_store(_fields.read(document, "platform", dict), bounds),
        streams=settings.StreamSettings(
            max_body_bytes=MAX_BODY_BYTES,
            connect_timeout_ms=300,
            heartbeat_ms=300,
            silent_after_ms=1_000,
            idle_close_ms=IDLE_STREAM_MS,
            max_streams=connections.count_streams(),
        ),
        limits=settings.LimitSettings(
            policy="fixed",
            queue_order="arrival",
            queue_length=1_000,
            queue_wait_ms=400,
            congested_wait_ms=250,
        ),
        repeats=_translate_repeats(bounds),
        teams=_translate_teams(bounds),
        quotas=_translate_quotas(bounds),
        memory=_translate_memory(limits),
        connections=connections,
        logs=settings.LogSettings(repeats_per_second=REPEATED_LOG_LINES_PER_SECOND),
        grace_ms=int(_fields.read_duration_ms(bounds, "grace", 6_000.0)),
        exchange_ms=_find_exchange_ms(bounds),
    )


def _translate_listen(document: dict[str, Any]) -> settings.MeshListenSettings:
    listen = _fields.read(document, "listen_addrs", dict)
    host = _fields.read_text(document, "ip")
    ports = _fields.read(document, "port_range", list)
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        raise schema.FieldError("port_range", "allowed are two ports")
    return settings.MeshListenSettings(
        egress=_fields.read_address(listen, "egress"),
        peer=settings.Address(host, ports[0]),
        readiness=_fields.read_address(listen, "ready"),
        metrics=settings.Address(host, ports[0] + 1),
    )


def _find_exchange_ms(bounds: dict[str, Any]) -> int:
    apply_ms = _fields.read_duration_ms(bounds, "config_apply", 2_000.0)
    return int(max(MIN_EXCHANGE_MS, EXCHANGE_SHARE * apply_ms))


def _translate_store(
    document: dict[str, Any], bounds: dict[str, Any]
) -> settings.StoreSettings:
    store = settings.StoreSettings(_fields.read_address(document, "address"))
    value_bytes = _fields.read_integer(
        document, "value_bytes", 1, default=store.max_value_bytes
    )
    return attrs.evolve(
        store,
        max_value_bytes=value_bytes,
        primary_wait_ms=_find_primary_wait_ms(bounds, store.watch_answer_ms),
        proof_interval_ms=_find_proof_interval_ms(bounds),
    )


def _find_proof_interval_ms(bounds: dict[str, Any]) -> int | None:
    """Return the interval of proofs if keys or quotas depend on their age."""
    is_strict = _fields.read(bounds, "strict_revoke", bool, False)
    has_quotas = bounds.get("quota_window") is not None
    return published.PROOF_INTERVAL_MS if is_strict or has_quotas else None


def _find_primary_wait_ms(bounds: dict[str, Any], watch_answer_ms: int) -> int:
    """Return the longest wait with which a silent store connection is noticed in time.

    After connections have gone silent, configurations must be in force again within
    the stable window. A round of requests between nodes is left for their way from
    the readers to all nodes.
    """
    apply_ms = _fields.read_duration_ms(bounds, "config_apply", 2_000.0)
    stable_ms = _fields.read_duration_ms(bounds, "stable_window", 3_000.0)
    silent_ms = max(apply_ms, stable_ms) - _find_exchange_ms(bounds)
    return max(MIN_PRIMARY_WAIT_MS, int(silent_ms - watch_answer_ms))


def _translate_repeats(bounds: dict[str, Any]) -> settings.RepeatSettings:
    repeats = settings.RepeatSettings()
    slack = _read_number(
        bounds, "budget_slack", repeats.fleet_slack / BUDGET_SLACK_SHARE, MAX_SLACK
    )
    ratio = _read_number(
        bounds, "retry_budget_ratio", repeats.ratio / RETRY_RATIO_SHARE, MAX_RETRY_RATIO
    )
    window_ms = _fields.read_duration_ms(
        bounds, "budget_window", repeats.window_ms, MAX_WINDOW_MS
    )
    if window_ms < MIN_WINDOW_MS:
        raise schema.FieldError(
            "bounds.budget_window", f"allowed are times from {MIN_WINDOW_MS:.0f}ms"
        )
    return attrs.evolve(
        repeats,
        fleet_slack=BUDGET_SLACK_SHARE * slack,
        ratio=RETRY_RATIO_SHARE * ratio,
        window_ms=int(window_ms),
    )


def _translate_teams(bounds: dict[str, Any]) -> settings.TeamSettings:
    default = settings.TeamSettings()
    return settings.TeamSettings(
        has_strict_revocation=_fields.read(bounds, "strict_revoke", bool, False),
        revocation_ms=int(
            _fields.read_duration_ms(bounds, "revoke", default.revocation_ms)
        ),
        configuration_ms=int(
            _fields.read_duration_ms(bounds, "config_apply", default.configuration_ms)
        ),
    )


def _translate_quotas(bounds: dict[str, Any]) -> settings.QuotaSettings:
    default = settings.QuotaSettings()
    return settings.QuotaSettings(
        window_ms=int(
            _fields.read_duration_ms(bounds, "quota_window", default.window_ms)
        ),
        overshoot=_read_number(bounds, "quota_overshoot", default.overshoot, 10.0),
        slack=_read_number(bounds, "quota_slack", default.slack, MAX_SLACK),
    )


def _translate_memory(limits: dict[str, Any]) -> settings.MemorySettings:
    default = settings.MemorySettings()
    return settings.MemorySettings(
        limit_mb=_fields.read_integer(limits, "memory_mb", default=default.limit_mb)
    )


def _translate_connections(limits: dict[str, Any]) -> settings.ConnectionSettings:
    default = settings.ConnectionSettings().max_descriptors
    lowest, highest = settings.ConnectionSettings.DESCRIPTORS
    return settings.ConnectionSettings(
        _fields.read_integer(limits, "max_fds", lowest, default, highest)
    )


def _read_number(
    bounds: dict[str, Any], name: str, default: float, highest: float
) -> float:
    """Return a number from 0 to ``highest`` of the table ``bounds``."""
    number = bounds.get(name, default)
    is_number = isinstance(number, int | float) and not isinstance(number, bool)
    if not is_number or not 0 <= number <= highest:
        raise schema.FieldError(
            f"bounds.{name}",
            f"allowed are numbers from 0 to {highest:g}, got {number!r:.80}",
        )
    return float(number)
