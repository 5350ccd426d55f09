"""The replacement of API keys by their digests in the configuration's item."""

import hashlib
import json
from typing import Any

import attrs

from jujubetiller import published, teams

KEYS = "api_keys"
DIGESTS = "api_key_digests"
TEAMS = "tenants"

INVALID = False
"""Takes the place of what is no key; the decoder rejects it as it would the original.
"""

_SIGNS_OF_KEYS = (KEYS.encode(), TEAMS.encode(), b"\\", b"\0")
"""A value that cannot be parsed may hold keys if it contains one of these: a name of a
field, an escaped name, or text in another encoding than UTF-8."""


def hide_keys(item: published.PublishedItem) -> published.PublishedItem:
    """Return the configuration's ``item`` without keys, to be kept and passed on.

    All readers make the same bytes from the same item. A value without teams stays as
    it is. One that is no JSON object stays as it is only if it can hold no keys;
    otherwise its digest takes its place, which is rejected like the value itself.
    """
    value = item.value
    if value is None:
        return item
    try:
        document = json.loads(value)
    except (ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        if not any(sign in value for sign in _SIGNS_OF_KEYS):
            return item
        digest = hashlib.sha256(value).hexdigest()
        document = {"unreadable": {"bytes": len(value), "sha256": digest}}
    elif TEAMS not in document and KEYS.encode() not in value:
        return item
    try:
        text = json.dumps(_hide_in(document), separators=(",", ":"))
    except (ValueError, RecursionError):
        text = json.dumps({"unreadable": {"bytes": len(value)}})
    return attrs.evolve(item, value=text.encode())


def _hide_in(node: Any) -> Any:
    if isinstance(node, list):
        return [_hide_in(each) for each in node]
    if not isinstance(node, dict):
        return node
    hidden = {
        name: _hide_in_rows(value) if name == TEAMS else _hide_in(value)
        for name, value in node.items()
        if name != KEYS
    }
    keys = node.get(KEYS)
    if keys is not None:
        is_list = isinstance(keys, list)
        hidden[DIGESTS] = [_hide_key(key) for key in keys] if is_list else INVALID
    return hidden


def _hide_in_rows(rows: Any) -> Any:
    """Return the rows of teams; one that is no table may be a key."""
    if rows is None:
        return None
    if not isinstance(rows, list):
        return INVALID
    return [_hide_in(row) if isinstance(row, dict) else INVALID for row in rows]


def _hide_key(key: Any) -> str | bool:
    if not isinstance(key, str) or not key:
        return INVALID
    try:
        return teams.digest_key(key).hex()
    except UnicodeEncodeError:
        return INVALID
