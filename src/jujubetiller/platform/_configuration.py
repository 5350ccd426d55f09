"""The format of the operator's configuration."""

import re
from typing import Any

from jujubetiller import routes, schema
from jujubetiller.platform import _fields, _teams

KEY = "op/config"

HIGHEST_PRIORITY_CLASS = 2**20

_VERSION = re.compile("[0-9A-Fa-f]{1,16}")

_IS_IDEMPOTENT = {"idempotent": True, "non_idempotent": False}


def translate_configuration(document: Any) -> routes.Configuration:
    """Return the configuration in ``document``.

    Raises ``FieldError`` for a missing or invalid field.
    """
    listeners = _fields.read(document, "listeners", list)
    clusters = _fields.read(document, "clusters", list)
    configuration = routes.Configuration(
        version=_translate_version(_fields.read_text(document, "version")),
        routes=tuple(
            _translate_rule(_fields.read_text(listener, "host"), rule)
            for listener in listeners
            for rule in _fields.read(listener, "rules", list)
        ),
        services=frozenset(_fields.read_text(each, "name") for each in clusters),
        bounds=_translate_limits(_fields.read(document, "limits", dict, {})),
        team_table=_teams.translate_teams(_fields.read(document, "tenants", list, [])),
    )
    for route in configuration.routes:
        _check_destinations(route, configuration.services)
    return configuration


def _check_destinations(route: routes.Route, services: frozenset[str]) -> None:
    for destination in route.destinations:
        if destination.service not in services:
            raise schema.FieldError(
                f"{route.name}.service",
                f"allowed are the names in clusters, got {destination.service!r}",
            )
    if not any(destination.weight for destination in route.destinations):
        raise schema.FieldError(f"{route.name}.weight", "one must be above 0")


def _translate_version(text: str) -> int:
    if _VERSION.fullmatch(text) is None:
        raise schema.FieldError(
            "version", f"allowed are 1 to 16 hexadecimal digits, got {text!r:.80}"
        )
    return int(text, 16)


def _translate_rule(host: str, rule: Any) -> routes.Route:
    action = _fields.read(rule, "action", dict)
    prefix = _fields.read_text(_fields.read(rule, "match", dict), "prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise schema.FieldError("prefix", "it must begin and end with a slash")
    kind = _fields.read_text(rule, "kind")
    if kind not in _IS_IDEMPOTENT:
        allowed = ", ".join(_IS_IDEMPOTENT)
        raise schema.FieldError("kind", f"allowed are {allowed}, got {kind!r}")
    timeout_ms = _fields.read_duration_ms(action, "timeout")
    if not timeout_ms:
        raise schema.FieldError("timeout", "it must be above 0")
    return routes.Route(
        name=_fields.read_text(rule, "name"),
        host=host,
        prefix=prefix,
        destinations=_translate_destinations(action),
        idempotent=_IS_IDEMPOTENT[kind],
        timeout_ms=timeout_ms,
        latency_objective_ms=_fields.read_duration_ms(
            rule, "target_latency", timeout_ms
        ),
        max_attempts=_fields.read_integer(action, "max_attempts", 1),
        priority_class=_fields.read_integer(
            rule, "priority", highest=HIGHEST_PRIORITY_CLASS, default=0
        ),
        is_public=_fields.read(rule, "public", bool, False),
    )


def _translate_destinations(action: Any) -> tuple[routes.Destination, ...]:
    parts = _fields.read(action, "weighted_services", list, None)
    if not parts:
        return (routes.Destination(_fields.read_text(action, "service")),)
    return tuple(
        routes.Destination(
            _fields.read_text(part, "service"), _fields.read_integer(part, "weight")
        )
        for part in parts
    )


def _translate_limits(limits: Any) -> routes.RequestBounds:
    default = routes.RequestBounds()
    return routes.RequestBounds(
        max_header_bytes=_fields.read_integer(
            limits, "max_header_bytes", 1, default.max_header_bytes
        ),
        max_body_bytes=_fields.read_integer(
            limits, "max_body_bytes", 0, default.max_body_bytes
        ),
        header_timeout_ms=_fields.read_duration_ms(
            limits, "header_timeout", default.header_timeout_ms
        ),
        idle_timeout_ms=_fields.read_duration_ms(
            limits, "idle_timeout", default.idle_timeout_ms
        ),
    )
