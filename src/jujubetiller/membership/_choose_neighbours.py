"""Selection of the neighbours that receive control messages."""

from collections.abc import Container

import xxhash

from jujubetiller.membership import _instance_record, _membership_table

RING_DISTANCES = (1, 2)

HASHED_IN_ZONE = 2


def _weight(own: str, other: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{own}\0{other}".encode())


def _choose_in_zone(
    own: _instance_record.InstanceRecord,
    others: list[_instance_record.InstanceRecord],
) -> list[_instance_record.InstanceRecord]:
    start = sum(other.instance < own.instance for other in others)
    ring = others[start:] + others[:start]
    chosen = [ring[at - 1] for at in RING_DISTANCES if at <= len(ring)]
    rest = sorted(
        (other for other in ring if other not in chosen),
        key=lambda other: _weight(own.instance, other.instance),
    )
    return chosen + rest[:HASHED_IN_ZONE]


def _choose_in_other_zones(
    own: _instance_record.InstanceRecord,
    zones: dict[str, list[_instance_record.InstanceRecord]],
) -> list[_instance_record.InstanceRecord]:
    """Return one instance of the next zone by name and one of a zone by hash.

    The links to the next zone form a ring, which keeps all zones connected. The
    hashed links shorten the path between two zones.
    """
    names = sorted(zones)
    if not names:
        return []
    following = next((name for name in names if name > own.zone), names[0])
    rest = [name for name in names if name != following]
    hashed = sorted(rest, key=lambda name: _weight(own.instance, name))[:1]
    return [
        max(zones[name], key=lambda other: _weight(own.instance, other.instance))
        for name in [following, *hashed]
    ]


def choose_neighbours(
    own: _instance_record.InstanceRecord,
    table: _membership_table.MembershipTable,
    suspects: Container[str] = (),
) -> tuple[_instance_record.InstanceRecord, ...]:
    """Return the instances that ``own`` sends its digests to.

    In the own zone these are the instances at ring distances 1 and 2, ordered by
    name, and two chosen by hash; two more are in other zones. ``suspects`` and
    leaving instances are left out, so that the ring skips instances that do not
    respond. Draining instances are included.
    """
    others = [
        other
        for other in table.instances_in(own.zone)
        if other.instance != own.instance
        and other.instance not in suspects
        and not other.leaving
    ]
    zones: dict[str, list[_instance_record.InstanceRecord]] = {}
    for zone in table.by_zone:
        if zone == own.zone:
            continue
        reachable = [
            other
            for other in table.instances_in(zone)
            if other.instance not in suspects and not other.leaving
        ]
        if reachable:
            zones[zone] = reachable
    return (*_choose_in_zone(own, others), *_choose_in_other_zones(own, zones))
