"""The state that results from merging all tickets."""

from collections.abc import Iterable, Mapping
from typing import Any

import result
import xxhash

from jujubetiller import digests, settings
from jujubetiller.tickets import (
    _kind_finder,
    _merge_result,
    _object_entry,
    _parse,
    _request_kind,
    _service_definition,
    _site_policy,
    _ticket,
)

MAX_KNOWN_CONFLICTS = 100


class TicketState:
    """Holds, for each object, the entry with the highest (number, content digest).

    The result depends only on the set of merged entries, never on their order,
    so all nodes that have received the same tickets hold the same state, and no
    object's number ever decreases.
    """

    def __init__(self, control_settings: settings.ControlSettings) -> None:
        self.max_objects = control_settings.max_objects
        self.entries: dict[str, _object_entry.ObjectEntry] = {}
        self.buckets = digests.BucketDigests()
        self.number = 0
        """The highest ticket number in force; 0 without any ticket."""
        self.conflict_count = 0
        self.known_conflicts: dict[tuple[str, int], None] = {}
        self.over_limit_count = 0
        self.rejected_count = 0
        self.services: dict[str, _service_definition.ServiceDefinition] = {}
        self.request_kinds: dict[str, _request_kind.RequestKind] = {}
        self.site_policy: _site_policy.SitePolicy | None = None
        self._finder: _kind_finder.KindFinder | None = None
        self._digest: bytes | None = None

    def merge(self, ticket: _ticket.Ticket) -> _merge_result.MergeResult:
        """Merge a checked ticket."""
        return self.merge_entries(ticket.objects.values())

    def load(self, entries: Iterable[Any]) -> _merge_result.MergeResult:
        """Check and merge entries in the form that ``snapshot`` returns.

        Invalid entries are counted and skipped.
        """
        accepted: list[_object_entry.ObjectEntry] = []
        problems: list[str] = []
        for entry in entries:
            if self._holds(entry):
                continue
            parsed = _parse.parse_wire_entry(entry)
            if isinstance(parsed, result.Ok):
                accepted.append(parsed.ok_value)
            else:
                problems.append(str(parsed.err_value))
        self.rejected_count += len(problems)
        merged = self.merge_entries(accepted)
        return _merge_result.MergeResult(
            merged.changed, merged.conflicts, merged.over_limit, tuple(problems)
        )

    def merge_entries(
        self, entries: Iterable[_object_entry.ObjectEntry]
    ) -> _merge_result.MergeResult:
        """Merge checked entries, each by its own number."""
        changed: list[_object_entry.ObjectEntry] = []
        conflicts: list[str] = []
        over_limit: list[str] = []
        for entry in entries:
            held = self.entries.get(entry.name)
            if held is None and len(self.entries) >= self.max_objects:
                over_limit.append(entry.name)
                continue
            if held is not None and self._is_new_conflict(held, entry):
                conflicts.append(entry.name)
            if self.supersedes(entry, held):
                self._put(entry, held)
                changed.append(entry)
        self.over_limit_count += len(over_limit)
        return _merge_result.MergeResult(
            tuple(changed), tuple(conflicts), tuple(over_limit)
        )

    def supersedes(
        self,
        entry: _object_entry.ObjectEntry,
        held: _object_entry.ObjectEntry | None,
    ) -> bool:
        """Return whether ``entry`` replaces ``held``."""
        return held is None or entry.version > held.version

    def digest(self) -> bytes:
        """Return 16 bytes over the sorted (object, number, content digest)."""
        if self._digest is None:
            hashed = xxhash.xxh3_128()
            for name in sorted(self.entries):
                hashed.update(self.entries[name].digest)
            self._digest = hashed.digest()
        return self._digest

    def index(self) -> dict[str, list[Any]]:
        """Return the number and the content digest of each object."""
        return {
            name: [entry.number, entry.content_digest]
            for name, entry in self.entries.items()
        }

    def missing(self, other_index: Mapping[str, Any]) -> list[list[Any]]:
        """Return the entries that a node with ``other_index`` must merge."""
        absent = (0, b"")
        return [
            entry.as_wire()
            for name, entry in sorted(self.entries.items())
            if entry.version > tuple(other_index.get(name, absent))
        ]

    def bucket_index(self) -> dict[str, list[Any]]:
        """Return the digests of the buckets of objects, at most 1.7 KB."""
        return self.buckets.index()

    def missing_in_buckets(self, other_index: Mapping[str, Any]) -> list[list[Any]]:
        """Return the entries of the buckets that differ from ``other_index``."""
        return [
            self.entries[name].as_wire()
            for name in self.buckets.differing_names(other_index)
        ]

    def missing_numbers(self, platform_objects: Mapping[str, int]) -> list[int]:
        """Return the ticket numbers to fetch for the platform's index.

        ``platform_objects`` maps each object to the number that last changed it.
        """
        held = self.entries
        return sorted(
            {
                number
                for name, number in platform_objects.items()
                if name not in held or held[name].number < number
            }
        )

    def snapshot(self) -> list[list[Any]]:
        """Return all entries in the form that ``load`` takes."""
        return self.missing({})

    def find_request_kind(
        self, service: str, method: str, path: str
    ) -> _request_kind.RequestKind | None:
        """Return the kind with the longest prefix of ``path``."""
        if self._finder is None:
            self._finder = _kind_finder.KindFinder(self.request_kinds.values())
        return self._finder.find(service, method, path)

    def _holds(self, wire_entry: Any) -> bool:
        """Return whether the entry is already in the state, without parsing it.

        Each entry arrives from several neighbours; only the first copy is parsed.
        """
        if not isinstance(wire_entry, (list, tuple)) or len(wire_entry) != 4:
            return False
        name = wire_entry[0]
        held = self.entries.get(name) if isinstance(name, str) else None
        return held is not None and held.as_wire() == list(wire_entry)

    def _is_new_conflict(
        self, held: _object_entry.ObjectEntry, entry: _object_entry.ObjectEntry
    ) -> bool:
        place = (entry.name, entry.number)
        if (
            held.number != entry.number
            or held.content_digest == entry.content_digest
            or place in self.known_conflicts
        ):
            return False
        self.conflict_count += 1
        self.known_conflicts[place] = None
        if len(self.known_conflicts) > MAX_KNOWN_CONFLICTS:
            del self.known_conflicts[next(iter(self.known_conflicts))]
        return True

    def _put(
        self,
        entry: _object_entry.ObjectEntry,
        held: _object_entry.ObjectEntry | None,
    ) -> None:
        self.entries[entry.name] = entry
        self.buckets.change(
            entry.name, None if held is None else held.digest, entry.digest
        )
        self.number = max(self.number, entry.number)
        self._digest = None
        self._update_views(entry)

    def _update_views(self, entry: _object_entry.ObjectEntry) -> None:
        """Update the parsed objects by kind with ``entry``."""
        kind, _, own_name = entry.name.partition("/")
        parsed = entry.parsed
        if kind == "site":
            assert parsed is None or isinstance(parsed, _site_policy.SitePolicy)
            self.site_policy = parsed
        elif kind == "service":
            self.services.pop(own_name, None)
            if isinstance(parsed, _service_definition.ServiceDefinition):
                self.services[own_name] = parsed
        else:
            self._finder = None
            self.request_kinds.pop(own_name, None)
            if isinstance(parsed, _request_kind.RequestKind):
                self.request_kinds[own_name] = parsed
