"""Merging of two records of one instance."""

import attrs

from jujubetiller.membership import _instance_record


def _address_order(
    record: _instance_record.InstanceRecord,
) -> tuple[int, str, int, str, str]:
    """Return the sort key that decides which record provides the address.

    At incarnation 0 the address comes from the published list, so the version of
    the list is compared first. The other fields make the choice the same on every
    node.
    """
    version = record.list_version if record.incarnation == 0 else 0
    return (version, record.host, record.peer_port, record.service, record.zone)


def merge_records(
    first: _instance_record.InstanceRecord,
    second: _instance_record.InstanceRecord,
) -> _instance_record.InstanceRecord:
    """Return the merged record.

    Merging is commutative, associative and idempotent. The greater (incarnation,
    boot id) wins, and within one process draining and leaving are sticky. The
    newest published list decides the last three fields.
    """
    if first == second:
        return first
    listing = max(
        first,
        second,
        key=lambda item: (item.list_version, item.listed, item.listed_leaving),
    )
    own = max(first, second, key=lambda item: item.process)
    draining, leaving, refresh = own.draining, own.leaving, own.refresh
    if first.process == second.process:
        own = max(first, second, key=_address_order)
        draining = first.draining or second.draining
        leaving = first.leaving or second.leaving
        refresh = max(first.refresh, second.refresh)
    if own.incarnation == 0:
        leaving = listing.listed_leaving
    return attrs.evolve(
        own,
        draining=draining,
        leaving=leaving,
        refresh=refresh,
        list_version=listing.list_version,
        listed=listing.listed,
        listed_leaving=listing.listed_leaving,
    )
