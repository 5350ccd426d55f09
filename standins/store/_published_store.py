"""Key-value items with revisions, paginated reads and watches."""

import base64
import json
from typing import Any
from urllib import parse

import attrs

Answer = tuple[int, bytes]


@attrs.define(slots=False)
class PublishedStore:
    """Answers ``/kv-range`` and ``/kv-watch`` as the platform documents them.

    For a watch without new events ``answer`` returns ``None``; the caller keeps the
    request open and calls ``answer`` again after the next write.
    """

    page_items: int = 500
    revision: int = 1
    epoch: int = 1
    """Number of the store's history, which each answer names."""

    items: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    events: list[dict[str, Any]] = attrs.field(factory=list)
    changes: list[dict[str, Any]] = attrs.field(factory=list)
    """All events of this history; ``events`` are those that watches may still get."""

    history_from: int = 0
    """Watches that start after an earlier revision are answered with 410."""

    stale_revision: int | None = None
    """The revision that serializable reads return; ``None`` for the newest one."""

    def put(self, key: str, value: bytes) -> None:
        """Write an item."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self._record({"key": key, "revision": self.revision, "tombstone": True})

    def restore(self, revision: int) -> None:
        """Return to the state as of ``revision``, as after a restore from a copy.

        The changes since then are lost and their revisions are given out again.
        """
        self.changes = [each for each in self.changes if each["revision"] <= revision]
        self.events = [each for each in self.events if each["revision"] <= revision]
        self.items = {}
        for change in self.changes:
            if "tombstone" in change:
                self.items.pop(change["key"], None)
            else:
                self.items[change["key"]] = change
        self.revision = revision
        self.history_from = min(self.history_from, revision)
        self.epoch += 1

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers that all answers bear."""
        return [("Store-Era", str(self.epoch))]

    def _record(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self.changes.append(event)

    def compact(self) -> None:
        """Discard the event history."""
        self.events = []
        self.history_from = self.revision

    def answer(self, uri: str) -> Answer | None:
        """Return the answer for a URI; ``None`` for a watch without new events."""
        path, _, text = uri.partition("?")
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        if path == "/kv-range":
            return 200, json.dumps(self._range(query)).encode()
        if path == "/kv-watch":
            return self._watch(query)
        return 404, b""

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        as_of = self.revision
        if query.get("serializable") == "1" and self.stale_revision is not None:
            as_of = self.stale_revision
        after = query.get("after", "")
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(query["prefix"])
            and key > after
            and item["revision"] <= as_of
        ]
        return {
            "items": found[: self.page_items],
            "truncated": len(found) > self.page_items,
            "as_of": as_of,
        }

    def _watch(self, query: dict[str, str]) -> Answer | None:
        after = int(query["after"])
        if not self.history_from <= after <= self.revision:
            return 410, b""
        events = [
            event
            for event in self.events
            if event["revision"] > after and event["key"].startswith(query["prefix"])
        ]
        if not events:
            return None
        return 200, json.dumps({"events": events, "as_of": self.revision}).encode()
