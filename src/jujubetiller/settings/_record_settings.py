"""Settings of the signed records."""

from typing import Any

import attrs

from jujubetiller import schema
from jujubetiller.settings import _fields

SHORTEST_SIGNING_KEY = 16


def _check_signing_keys(
    instance: object, attribute: Any, value: tuple[str, ...]
) -> None:
    if not value or any(len(key) < SHORTEST_SIGNING_KEY for key in value):
        raise schema.FieldError(
            attribute.name,
            f"allowed are one or more keys of at least {SHORTEST_SIGNING_KEY} "
            "characters; the first one signs and all of them verify",
        )


@attrs.frozen
class RecordSettings:
    """The signing keys and the largest number of hops in a record.

    A key is rotated in three steps without an interruption: add the new key in the
    second place on every node, move it to the first place, and remove the old
    one after the longest lifetime of what it signed.
    """

    signing_keys: tuple[str, ...] = attrs.field(
        validator=_check_signing_keys, repr=False
    )

    # An ANSWER frame holds 64 hop records: these and the node's own.
    max_hops: int = _fields.whole_number(40, 1, 63)
