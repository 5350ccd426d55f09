"""Parsing of JSON texts."""

import json
from typing import Any

import result

from jujubetiller import codes


def parse_json(
    text: str | bytes, code: codes.ResultCode
) -> result.Result[Any, codes.Problem]:
    """Parse ``text`` as JSON; a problem names the position of the syntax error."""
    try:
        return result.Ok(json.loads(text))
    except (ValueError, RecursionError) as error:
        return result.Err(codes.Problem(code, "document", f"not JSON: {error}"))
