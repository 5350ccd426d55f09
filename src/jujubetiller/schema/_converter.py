"""Conversion of JSON values to attrs classes, with readable error messages.

It is imported when the first document is converted.
"""

import json
from typing import Any, TypeVar

import cattrs
import result

from jujubetiller import codes
from jujubetiller.schema import _field_error

_Structured = TypeVar("_Structured")

_PRIMITIVE_NAMES: dict[type, str] = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "a string",
}


def _check_primitive(value: Any, expected: type) -> Any:
    """Return ``value`` if it already has the JSON type of ``expected``.

    cattrs would convert between primitives, so that the string "5" would pass
    as a number.
    """
    accepted = (int, float) if expected is float else (expected,)
    if type(value) not in accepted:
        raise ValueError(
            f"expected {_PRIMITIVE_NAMES[expected]}, got {json.dumps(value)[:80]}"
        )
    return expected(value)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for primitive in _PRIMITIVE_NAMES:
        converter.register_structure_hook(primitive, _check_primitive)
    return converter


_CONVERTER = _make_converter()


def _describe_leaf(error: BaseException) -> str:
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        return f"unknown fields: {names}"
    if isinstance(error, KeyError):
        return f"required field {error.args[0]!r} is missing"
    return str(error)


def _first_leaf(error: BaseException, path: str) -> tuple[str, str]:
    """Return the path and the message of the first problem under ``error``."""
    if isinstance(error, _field_error.FieldError):
        return f"{path}.{error.field}".lstrip("."), str(error)
    if not isinstance(error, cattrs.BaseValidationError):
        return path or "document", _describe_leaf(error)
    inner = error.exceptions[0]
    part = ""
    for note in getattr(inner, "__notes__", ()):
        name = getattr(note, "name", None)
        index = getattr(note, "index", None)
        part = f".{name}" if name is not None else f"[{index}]"
    return _first_leaf(inner, f"{path}{part}".lstrip("."))


def convert(
    value: Any, shape: type[_Structured], code: codes.ResultCode, path: str
) -> result.Result[_Structured, codes.Problem]:
    """Convert as ``schema.structure`` describes."""
    try:
        return result.Ok(_CONVERTER.structure(value, shape))
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
        field, message = _first_leaf(error, path)
        return result.Err(codes.Problem(code, field, message))
