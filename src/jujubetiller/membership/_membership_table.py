"""A node's table of all known instances."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from jujubetiller import clock, digests, settings
from jujubetiller.membership import _instance_record, _merge_records

ABSENT_EXPIRY_MS = 180_000.0
"""Time without a change of its record after which an unlisted instance is dropped.

A running instance refreshes its record every ``REFRESH_MS``, so that it is not
dropped because the published list lags.
"""

DROPPED_RETENTION_MS = 900_000.0
"""How long a dropped record is kept, so that a peer that drops it later cannot
add it again."""

REFRESH_MS = 60_000.0
"""Interval at which a running instance refreshes its record while it is unlisted."""


class MembershipTable:
    """Merges records with ``merge_records`` and indexes them by service and zone."""

    def __init__(
        self, time_source: clock.Clock, control_settings: settings.ControlSettings
    ) -> None:
        self.clock = time_source
        self.max_instances = control_settings.max_instances
        self.records: dict[str, _instance_record.InstanceRecord] = {}
        self.by_service: dict[str, dict[str, _instance_record.InstanceRecord]] = {}
        self.by_zone: dict[str, dict[str, _instance_record.InstanceRecord]] = {}
        self.buckets = digests.BucketDigests()
        self.absent_since: dict[str, float] = {}
        self.dropped: dict[str, float] = {}
        self.lists: dict[
            str, tuple[int, dict[str, _instance_record.InstanceRecord]]
        ] = {}
        """The newest published list that this node itself read, by zone."""
        self.over_limit_count = 0
        self.rejected_count = 0
        self.old_list_count = 0
        self.change_count = 0
        """Grows with each change, so that callers can cache what they derive."""
        self.topology_change_count = 0
        """Grows when an instance is added, dropped, changes its address or zone, or
        leaves. Neighbours are chosen anew only then."""
        self._views: dict[str, tuple[_instance_record.InstanceRecord, ...]] = {}
        self._digest: bytes | None = None

    def merge(
        self, record: _instance_record.InstanceRecord
    ) -> _instance_record.InstanceRecord | None:
        """Merge ``record`` and return the merged record if it changed."""
        held = self.records.get(record.instance)
        if held is None and len(self.records) >= self.max_instances:
            self.over_limit_count += 1
            return None
        merged = record if held is None else _merge_records.merge_records(held, record)
        merged = self._correct_by_list(merged)
        if merged == held:
            return None
        self._put(merged, held)
        return merged

    def load(
        self, wire_records: Iterable[Any]
    ) -> list[_instance_record.InstanceRecord]:
        """Merge records that a peer sent and return those that changed.

        Invalid records are counted and skipped.
        """
        changed: list[_instance_record.InstanceRecord] = []
        for wire in wire_records:
            record = _instance_record.read_wire_record(wire)
            if record is None:
                self.rejected_count += 1
                continue
            merged = self.merge(record)
            if merged is not None:
                changed.append(merged)
        return changed

    def merge_published_list(
        self,
        zone: str,
        records: Iterable[_instance_record.InstanceRecord],
        version: int,
    ) -> list[_instance_record.InstanceRecord]:
        """Merge the platform's list of ``zone`` and return the changed records.

        A list older than the newest one read is counted and ignored.
        """
        if version < self.lists.get(zone, (0, {}))[0]:
            self.old_list_count += 1
            return []
        listed = {record.instance: record for record in records}
        self.lists[zone] = (version, listed)
        known = [
            held
            for name, held in self.by_zone.get(zone, {}).items()
            if name not in listed
        ]
        merged = [
            self.merge(self._as_listed(record, version)) for record in listed.values()
        ]
        merged += [self.merge(held) for held in known]
        return [record for record in merged if record is not None]

    def expire(self) -> list[str]:
        """Drop unlisted instances whose record has not changed for too long.

        Returns the names of the instances that this call dropped.
        """
        now_ms = self.clock.now_ms()
        dropped = [
            name
            for name, since in self.absent_since.items()
            if now_ms - since >= ABSENT_EXPIRY_MS
        ]
        for name in dropped:
            self._drop(name, now_ms)
        for name in [
            name
            for name, since in self.dropped.items()
            if now_ms - since >= DROPPED_RETENTION_MS
        ]:
            del self.dropped[name]
            del self.records[name]
        return dropped

    def get(self, instance: str) -> _instance_record.InstanceRecord | None:
        """Return the record of ``instance`` unless it was dropped."""
        return None if instance in self.dropped else self.records.get(instance)

    def instances(self) -> tuple[_instance_record.InstanceRecord, ...]:
        """Return all instances, draining and leaving ones included."""
        return self._view(
            "all",
            lambda: [r for n, r in self.records.items() if n not in self.dropped],
        )

    def instances_of(self, service: str) -> tuple[_instance_record.InstanceRecord, ...]:
        """Return the instances of ``service``; cached, as each call needs them."""
        view = self._views.get(service_view := f"service/{service}")
        if view is not None:
            return view
        return self._view(
            service_view, lambda: list(self.by_service.get(service, {}).values())
        )

    def instances_in(self, zone: str) -> tuple[_instance_record.InstanceRecord, ...]:
        """Return the instances in ``zone``, sorted by name."""
        return self._view(
            f"zone/{zone}",
            lambda: sorted(
                self.by_zone.get(zone, {}).values(), key=lambda item: item.instance
            ),
        )

    def digest(self) -> bytes:
        """Return 16 bytes over all records that were not dropped."""
        if self._digest is None:
            self._digest = self.buckets.total()
        return self._digest

    def index(self) -> dict[str, list[Any]]:
        """Return the digests of the buckets of records, at most 1.7 KB."""
        return self.buckets.index()

    def missing(self, other_index: Mapping[str, Any]) -> list[list[Any]]:
        """Return the wire records of the buckets that differ from ``other_index``."""
        return [
            self.records[name].as_wire()
            for name in self.buckets.differing_names(other_index)
        ]

    def _as_listed(
        self, record: _instance_record.InstanceRecord, version: int
    ) -> _instance_record.InstanceRecord:
        """Return the record that the published list gives for one instance.

        The version changes only with the content, so that an unchanged instance
        is not sent again with each new list.
        """
        held = self.records.get(record.instance)
        if (
            held is not None
            and held.listed
            and held.listed_leaving == record.leaving
            and (held.incarnation > 0 or held.address == record.address)
        ):
            version = held.list_version
        return attrs.evolve(
            record,
            incarnation=0,
            boot_id="",
            draining=False,
            list_version=version,
            listed=True,
            listed_leaving=record.leaving,
        )

    def _correct_by_list(
        self, record: _instance_record.InstanceRecord
    ) -> _instance_record.InstanceRecord:
        """Return ``record`` corrected by the list that this node itself read.

        A peer's record can be based on an older list. The corrected record carries
        the newer version, so that peers accept it from this node.
        """
        version, listed = self.lists.get(record.zone, (0, {}))
        if record.list_version >= version:
            return record
        entry = listed.get(record.instance)
        leaving = entry is not None and entry.leaving
        if record.list_version > 0 and (entry is not None, leaving) == (
            record.listed,
            record.listed_leaving,
        ):
            return record
        corrected = attrs.evolve(
            record,
            list_version=version,
            listed=entry is not None,
            listed_leaving=leaving,
        )
        if record.incarnation == 0:
            corrected = attrs.evolve(corrected, leaving=leaving)
        return corrected

    def _put(
        self,
        merged: _instance_record.InstanceRecord,
        held: _instance_record.InstanceRecord | None,
    ) -> None:
        name = merged.instance
        was_dropped = self.dropped.pop(name, None) is not None
        self.records[name] = merged
        if held is not None and not was_dropped:
            self._remove_from_views(held)
        self.buckets.change(
            name,
            None if held is None or was_dropped else held.digest(),
            merged.digest(),
        )
        self.by_service.setdefault(merged.service, {})[name] = merged
        self.by_zone.setdefault(merged.zone, {})[name] = merged
        if held is None or was_dropped or held.topology_key != merged.topology_key:
            self.topology_change_count += 1
        self.absent_since.pop(name, None)
        if merged.is_absent:
            self.absent_since[name] = self.clock.now_ms()
        self._changed(merged)

    def _drop(self, name: str, now_ms: float) -> None:
        record = self.records[name]
        del self.absent_since[name]
        self.dropped[name] = now_ms
        self.topology_change_count += 1
        self._remove_from_views(record)
        self.buckets.change(name, record.digest(), None)
        self._changed(record)

    def _remove_from_views(self, record: _instance_record.InstanceRecord) -> None:
        for views, key in (
            (self.by_service, record.service),
            (self.by_zone, record.zone),
        ):
            del views[key][record.instance]
            if not views[key]:
                del views[key]
        self._views.pop(f"service/{record.service}", None)
        self._views.pop(f"zone/{record.zone}", None)

    def _changed(self, record: _instance_record.InstanceRecord) -> None:
        self.change_count += 1
        self._digest = None
        for view in ("all", f"service/{record.service}", f"zone/{record.zone}"):
            self._views.pop(view, None)

    def _view(
        self, name: str, make: Any
    ) -> tuple[_instance_record.InstanceRecord, ...]:
        view = self._views.get(name)
        if view is None:
            view = self._views[name] = tuple(make())
        return view
