"""The hosts of instances in a page of the store."""

from collections.abc import Iterable

import result

from jujubetiller import published


def find_hosts(
    decoder: published.ItemDecoder, items: Iterable[published.PublishedItem]
) -> dict[str, set[str]]:
    """Return the hosts of the listed instances by zone."""
    hosts: dict[str, set[str]] = {}
    for item in items:
        decoded = decoder.decode_instance(item)
        if isinstance(decoded, result.Ok):
            instance = decoded.ok_value
            hosts.setdefault(instance.zone, set()).add(instance.address.host)
    return hosts
