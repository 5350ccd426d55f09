"""Functions that read single fields of the platform's documents.

Each raises ``FieldError``, which names the field and the allowed values.
"""

import re
from typing import Any

from jujubetiller import schema, settings

_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,9})?)(ms|s)")
_MS_BY_UNIT = {"ms": 1.0, "s": 1_000.0}
_ADDRESS = re.compile(r"(.{1,64}):([0-9]{1,5})")
_REQUIRED: Any = object()

MAX_SAFE_INTEGER = 2**53
"""Larger numbers lose digits in JSON parsers that use floating-point numbers."""


LONGEST_DURATION_MS = 1e12
"""What the pattern of a duration allows."""

LOWEST_PORT = 1


def read_duration_ms(
    document: Any,
    name: str,
    default: Any = _REQUIRED,
    highest_ms: float = LONGEST_DURATION_MS,
) -> float:
    """Return a time in milliseconds, written like ``1500ms`` or ``2.5s``."""
    value = read(document, name, str, default)
    if not isinstance(value, str):
        return float(value)
    found = _DURATION.fullmatch(value)
    if found is None:
        raise schema.FieldError(
            name, f"allowed are times like 1500ms, got {value!r:.80}"
        )
    duration_ms = float(found.group(1)) * _MS_BY_UNIT[found.group(2)]
    if duration_ms > highest_ms:
        raise schema.FieldError(name, f"allowed are times up to {highest_ms:.0f}ms")
    return duration_ms


def read_integer(
    document: Any,
    name: str,
    lowest: int = 0,
    default: Any = _REQUIRED,
    highest: int = MAX_SAFE_INTEGER,
) -> int:
    """Return a whole number from ``lowest`` to ``highest``."""
    value = read(document, name, int, default)
    if isinstance(value, bool) or not lowest <= value <= highest:
        raise schema.FieldError(
            name, f"allowed are whole numbers from {lowest} to {highest}"
        )
    return int(value)


def read_text(document: Any, name: str) -> str:
    """Return a non-empty text that has a form in UTF-8."""
    value = str(read(document, name, str))
    if not value:
        raise schema.FieldError(name, "allowed are non-empty texts")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise schema.FieldError(name, "allowed are texts without surrogates") from None
    return value


def read_address(document: Any, name: str) -> settings.Address:
    """Return an address, written like ``10.1.0.8:8300``."""
    text = read_text(document, name)
    found = _ADDRESS.fullmatch(text)
    if found is None:
        raise schema.FieldError(name, f"allowed are HOST:PORT, got {text!r:.80}")
    address = settings.Address(found.group(1), int(found.group(2)))
    if address.port < LOWEST_PORT:
        raise schema.FieldError(name, f"allowed are ports from {LOWEST_PORT} on")
    return address


def read(document: Any, name: str, kind: type, default: Any = _REQUIRED) -> Any:
    """Return the field ``name`` of the JSON type ``kind``."""
    if not isinstance(document, dict):
        raise schema.FieldError(name, "its parent must be a table")
    value = document.get(name)
    if value is None and default is not _REQUIRED:
        return default
    if not isinstance(value, kind):
        raise schema.FieldError(
            # The value is not shown: a part of a document may hold API keys.
            name,
            f"allowed is a value of type {kind.__name__}, "
            f"got one of type {type(value).__name__}",
        )
    return value
