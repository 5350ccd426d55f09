"""Conversion of JSON values to attrs classes."""

import importlib
from typing import Any, TypeVar

import result

from jujubetiller import codes

_Structured = TypeVar("_Structured")


def structure(
    value: Any, shape: type[_Structured], code: codes.ResultCode, path: str = ""
) -> result.Result[_Structured, codes.Problem]:
    """Turn the JSON ``value`` into an instance of the attrs class ``shape``.

    ``code`` is the code of the returned problem, and ``path`` is put before the
    path of the offending field.
    """
    # Most nodes convert no document, and cattrs takes a twentieth of their start time.
    converter = importlib.import_module("jujubetiller.schema._converter")
    structured: result.Result[_Structured, codes.Problem]
    structured = converter.convert(value, shape, code, path)
    return structured
