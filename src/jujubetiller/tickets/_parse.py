"""Parsing and validation of change tickets."""

import json
from collections.abc import Callable, Mapping
from typing import Any

import result

from jujubetiller import codes, schema
from jujubetiller.tickets import (
    _fields,
    _object_entry,
    _request_kind,
    _service_definition,
    _site_policy,
    _ticket,
)

MAX_TICKET_BYTES = 1_000_000

MAX_TICKET_OBJECTS = 2_000

HIGHEST_NUMBER = 2**53 - 1
"""Not every JSON parser represents greater numbers exactly."""

_SITE_POLICY_NAME = "site/policy"

_TICKET_FIELDS = ("number", "author", "objects")

_Parsed = result.Result[_object_entry.TicketObject, codes.Problem]


def _problem(field: str, message: str) -> result.Err[codes.Problem]:
    return result.Err(codes.Problem(codes.ResultCode.BAD_TICKET, field, message))


def _parse_named(
    shape: type[_object_entry.TicketObject],
) -> Callable[[str, Mapping[str, Any]], _Parsed]:
    def parse(name: str, body: Mapping[str, Any]) -> _Parsed:
        field = f"objects.{name}"
        own_name = name.partition("/")[2]
        if body.get("name", own_name) != own_name:
            return _problem(f"{field}.name", f"allowed is {own_name!r} or nothing")
        document = {**body, "name": own_name}
        return schema.structure(document, shape, codes.ResultCode.BAD_TICKET, field)

    return parse


def _parse_policy(name: str, body: Mapping[str, Any]) -> _Parsed:
    return schema.structure(
        body, _site_policy.SitePolicy, codes.ResultCode.BAD_TICKET, f"objects.{name}"
    )


_PARSERS: dict[str, Callable[[str, Mapping[str, Any]], _Parsed]] = {
    "service": _parse_named(_service_definition.ServiceDefinition),
    "request_kind": _parse_named(_request_kind.RequestKind),
    "site": _parse_policy,
}


def _is_object_name(name: str) -> bool:
    kind, _, own_name = name.partition("/")
    if kind == "site":
        return name == _SITE_POLICY_NAME
    return kind in _PARSERS and _fields.is_name(own_name)


def parse_object(
    name: str, number: int, author: str, body: Any
) -> result.Result[_object_entry.ObjectEntry, codes.Problem]:
    """Check one object of a ticket; a ``body`` of ``None`` removes it."""
    if not _is_object_name(name):
        return _problem(
            f"objects.{name[: _fields.LONGEST_NAME]}",
            "allowed are service/<name>, request_kind/<name> and site/policy",
        )
    if body is None:
        return result.Ok(_object_entry.make_entry(name, number, author, None, None))
    if not isinstance(body, Mapping):
        return _problem(f"objects.{name}", "allowed is an object or null")
    parsed = _PARSERS[name.partition("/")[0]](name, body)
    if isinstance(parsed, result.Err):
        return parsed
    content = json.dumps(
        body, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    ).encode()
    return result.Ok(
        _object_entry.make_entry(name, number, author, content, parsed.ok_value)
    )


def is_number(value: Any) -> bool:
    """Return whether ``value`` can be the number of a ticket."""
    return type(value) is int and 1 <= value <= HIGHEST_NUMBER


def parse_wire_entry(
    entry: Any,
) -> result.Result[_object_entry.ObjectEntry, codes.Problem]:
    """Check an entry that a peer sent, in the form of ``ObjectEntry.as_wire``."""
    if not isinstance(entry, (list, tuple)) or len(entry) != 4:
        return _problem("entry", "allowed are lists [object, number, author, content]")
    name, number, author, content = entry
    if not isinstance(name, str) or not isinstance(author, str):
        return _problem("entry", "object and author must be strings")
    if not is_number(number) or not _fields.is_name(author):
        return _problem(f"objects.{name}", "number or author is out of range")
    if content is None:
        return parse_object(name, number, author, None)
    if not isinstance(content, bytes):
        return _problem(f"objects.{name}", "content must be bytes or nothing")
    document = schema.parse_json(content, codes.ResultCode.BAD_TICKET)
    if isinstance(document, result.Err):
        return document
    if document.ok_value is None:
        return _problem(f"objects.{name}", "content must be an object")
    return parse_object(name, number, author, document.ok_value)


def _check_kinds_differ(
    entries: Mapping[str, _object_entry.ObjectEntry],
) -> result.Result[None, codes.Problem]:
    seen: dict[tuple[str, str, str], str] = {}
    for name, entry in entries.items():
        kind = entry.parsed
        if not isinstance(kind, _request_kind.RequestKind):
            continue
        matched = (kind.service, kind.method, kind.path_prefix)
        if matched in seen:
            return _problem(
                f"objects.{name}.path_prefix",
                "allowed is one request kind for a service, method and path prefix; "
                f"{seen[matched]} has the same ones",
            )
        seen[matched] = name
    return result.Ok(None)


def _check_header(document: Any) -> result.Result[None, codes.Problem]:
    if not isinstance(document, Mapping):
        return _problem("document", "allowed is a JSON object")
    for field in document:
        if field not in _TICKET_FIELDS:
            return _problem(
                str(field)[: _fields.LONGEST_NAME],
                f"allowed fields are {', '.join(_TICKET_FIELDS)}",
            )
    if not is_number(document.get("number")):
        return _problem(
            "number", f"allowed are whole numbers from 1 to {HIGHEST_NUMBER}"
        )
    author = document.get("author")
    if not isinstance(author, str) or not _fields.is_name(author):
        return _problem(
            "author",
            f"allowed are names of 1 to {_fields.LONGEST_NAME} printable characters "
            "without '/'",
        )
    objects = document.get("objects")
    if not isinstance(objects, Mapping) or not 1 <= len(objects) <= MAX_TICKET_OBJECTS:
        return _problem(
            "objects", f"allowed is an object with 1 to {MAX_TICKET_OBJECTS} entries"
        )
    return result.Ok(None)


def _size_of(source: str | bytes | Mapping[str, Any]) -> int:
    if isinstance(source, bytes):
        return len(source)
    text = source if isinstance(source, str) else json.dumps(source, default=str)
    return len(text.encode(errors="replace"))


def parse_ticket(
    source: str | bytes | Mapping[str, Any],
) -> result.Result[_ticket.Ticket, codes.Problem]:
    """Validate a ticket as a whole and return it.

    ``source`` is JSON text or the parsed document. The problem names the first
    field that is wrong and what is allowed there.
    """
    if _size_of(source) > MAX_TICKET_BYTES:
        return _problem("document", f"allowed are at most {MAX_TICKET_BYTES} bytes")
    document: Any = source
    if isinstance(source, (str, bytes)):
        text = schema.parse_json(source, codes.ResultCode.BAD_TICKET)
        if isinstance(text, result.Err):
            return text
        document = text.ok_value
    header = _check_header(document)
    if isinstance(header, result.Err):
        return header
    entries: dict[str, _object_entry.ObjectEntry] = {}
    for name, body in document["objects"].items():
        entry = parse_object(str(name), document["number"], document["author"], body)
        if isinstance(entry, result.Err):
            return entry
        entries[name] = entry.ok_value
    differ = _check_kinds_differ(entries)
    if isinstance(differ, result.Err):
        return differ
    return result.Ok(_ticket.Ticket(document["number"], document["author"], entries))
