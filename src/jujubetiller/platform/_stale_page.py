"""A read of the store that may return an old state, and costs it little."""

import json
from urllib import parse

import logbook
import result

from jujubetiller import http_reads, published, schema, settings
from jujubetiller.platform import _instances, _store_answer

_LOG = logbook.Logger("jujubetiller.platform")

_ENVELOPE_BYTES = 65_536

# Base64 makes values longer; a page holds about a megabyte of values.
_MAX_ANSWER_BYTES_PER_VALUE_BYTE = 3


def find_max_answer_bytes(store_settings: settings.StoreSettings) -> int:
    """Return the size in bytes up to which an answer of the store is read."""
    value_bytes = store_settings.max_value_bytes
    return value_bytes * _MAX_ANSWER_BYTES_PER_VALUE_BYTE + _ENVELOPE_BYTES


async def read_stale_page(
    reader: http_reads.HttpReader, store_settings: settings.StoreSettings
) -> tuple[published.PublishedItem, ...]:
    """Return a page of the entries of instances, or nothing if the read fails."""
    query = {"prefix": _instances.PREFIX, "serializable": "1"}
    read = await reader.get(
        f"/kv-range?{parse.urlencode(query)}",
        store_settings.answer_timeout_ms,
        find_max_answer_bytes(store_settings),
    )
    if isinstance(read, result.Err) or read.ok_value.status != _store_answer.OK:
        return ()
    try:
        page = json.loads(read.ok_value.body)
        answer = _store_answer.StoreAnswer(_store_answer.OK, page, 0)
        return answer.read_items("items").items
    except (schema.FieldError, ValueError, RecursionError) as error:
        _LOG.error("page of the store not used", extra={"reason": str(error)})
        return ()
