"""Parsers of the platform values ``vms/zones`` and ``vms/<zone>``."""

from collections.abc import Mapping
from typing import Any

import attrs
import result

from jujubetiller import codes, membership, schema, settings

MAX_LIST_ENTRIES = 20_000

MAX_NAME_LENGTH = 100

LISTED_STATES = ("live", "leaving")


@attrs.frozen
class ListedInstance:
    """One entry of the list of instances that the platform publishes for a zone."""

    instance: str
    service: str
    zone: str
    host: str
    peer_port: int

    state: str = "live"
    """One of ``LISTED_STATES``."""


def _problem(field: str, message: str) -> result.Err[codes.Problem]:
    return result.Err(codes.Problem(codes.ResultCode.BAD_RECORD, field, message))


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 1 <= len(value) <= MAX_NAME_LENGTH


def _get_list(value: Any, field: str) -> result.Result[list[Any], codes.Problem]:
    items = value.get(field) if isinstance(value, Mapping) else None
    if not isinstance(items, list) or len(items) > MAX_LIST_ENTRIES:
        return _problem(
            field, f"allowed is a list of at most {MAX_LIST_ENTRIES} entries"
        )
    return result.Ok(items)


def parse_zones(value: Any) -> result.Result[list[str], codes.Problem]:
    """Check ``{"zones": [name, ...]}`` and return the names."""
    items = _get_list(value, "zones")
    if isinstance(items, result.Err):
        return items
    if not all(_is_name(item) for item in items.ok_value):
        return _problem(
            "zones", f"allowed are names of 1 to {MAX_NAME_LENGTH} characters"
        )
    return result.Ok(items.ok_value)


def parse_instances(
    value: Any, zone: str
) -> result.Result[list[membership.InstanceRecord], codes.Problem]:
    """Check ``{"instances": [...]}`` and return the records, or the first problem.

    An entry has the fields of ``ListedInstance``.
    """
    items = _get_list(value, "instances")
    if isinstance(items, result.Err):
        return items
    records: list[membership.InstanceRecord] = []
    for index, item in enumerate(items.ok_value):
        path = f"instances[{index}]"
        entry = schema.structure(
            item, ListedInstance, codes.ResultCode.BAD_RECORD, path
        )
        if isinstance(entry, result.Err):
            return entry
        listed = entry.ok_value
        if not _is_name(listed.instance) or not _is_name(listed.service):
            return _problem(
                f"{path}.instance",
                f"allowed are names of 1 to {MAX_NAME_LENGTH} characters",
            )
        if listed.zone != zone:
            return _problem(f"{path}.zone", f"allowed is {zone}")
        if listed.state not in LISTED_STATES:
            return _problem(f"{path}.state", f"allowed are {', '.join(LISTED_STATES)}")
        try:
            settings.Address(listed.host, listed.peer_port)
        except schema.FieldError as error:
            return _problem(f"{path}.{error.field}", str(error))
        records.append(
            membership.InstanceRecord(
                listed.instance,
                listed.service,
                zone,
                listed.host,
                listed.peer_port,
                leaving=listed.state == "leaving",
            )
        )
    return result.Ok(records)
