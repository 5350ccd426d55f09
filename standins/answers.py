"""The JSON body of a stand-in target's response, which the load driver checks."""

import json
from typing import Any

PADDING = "x"


def make_document(
    marker: str, service: str, instance: str, key: str, body: bytes
) -> dict[str, Any]:
    """Return a response document that identifies the request it belongs to."""
    return {
        "marker": marker,
        "service": service,
        "instance": instance,
        "key": key,
        "echo_length": len(body),
        "echo": body.decode("latin-1"),
        "nested": [],
        "padding": "",
    }


def encode(document: dict[str, Any], padding_bytes: int = 0) -> bytes:
    """Return the body, with the marker repeated at its end to detect truncation."""
    document["padding_bytes"] = padding_bytes
    document["padding"] = PADDING * padding_bytes
    document["end"] = document["marker"]
    return json.dumps(document).encode()


def find_fault(answer: bytes, marker: str, body: bytes) -> str:
    """Return the fault of the answer to request ``marker``, or an empty string.

    ``not-its-own`` means that the answer belongs to another request, ``not-whole``
    that it is truncated or malformed.

    >>> answer = encode(make_document("m1", "booth", "booth-1", "", b"sale"))
    >>> find_fault(answer, "m1", b"sale")
    ''
    >>> find_fault(answer, "m2", b"sale")
    'not-its-own'
    >>> find_fault(answer[:-9], "m1", b"sale")
    'not-whole'
    """
    try:
        document = json.loads(answer)
        return _find_document_fault(document, marker, body)
    except (ValueError, KeyError, TypeError):
        return "not-whole"


def _find_document_fault(document: dict[str, Any], marker: str, body: bytes) -> str:
    if document["marker"] != marker or document["end"] != marker:
        return "not-its-own"
    if document["echo"] != body.decode("latin-1"):
        return "not-its-own"
    if len(document["padding"]) != document["padding_bytes"]:
        return "not-whole"
    for nested in document["nested"]:
        expected = nested["marker"]
        if not expected.startswith(marker):
            return "not-its-own"
        fault = _find_document_fault(nested["body"], expected, expected.encode())
        if fault:
            return f"nested {fault}"
    return ""
