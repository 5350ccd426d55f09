"""Versioned values with a bounded history."""

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

MAX_VALUE_BYTES = 1_000_000
HISTORY_LENGTH = 64


@attrs.frozen
class StoredValue:
    """One version of a value."""

    version: int
    value: Any


class ValueStore:
    """Keeps the values by key; each change gets the next version of the store."""

    def __init__(self) -> None:
        self.version = 0
        self.epoch = 0
        """Number of the store's history, which rises with each restore."""

        self.history: dict[str, deque[StoredValue]] = {}
        self.frozen: dict[str, StoredValue] | None = None
        self.listeners: dict[str, set[Callable[[], None]]] = {}
        self.put("tickets/index", {"highest": 0, "objects": {}})
        self.put("vms/zones", {"zones": []})

    def put(self, key: str, value: Any) -> int:
        """Store ``value``, notify the watches of ``key`` and return the version."""
        self.version += 1
        versions = self.history.setdefault(key, deque(maxlen=HISTORY_LENGTH))
        versions.append(StoredValue(self.version, value))
        for listener in list(self.listeners.get(key, ())):
            listener()
        return self.version

    def restore(self, version: int) -> None:
        """Return to the state as of ``version``, as after a restore from a copy.

        The versions after it are given out again.
        """
        for key, versions in tuple(self.history.items()):
            kept = [stored for stored in versions if stored.version <= version]
            self.history[key] = deque(kept, maxlen=HISTORY_LENGTH)
            if not kept:
                del self.history[key]
        self.version = version
        self.epoch += 1
        for listeners in tuple(self.listeners.values()):
            for listener in tuple(listeners):
                listener()

    def newest(self, key: str) -> Any:
        """Return the newest value of ``key``, or None."""
        return self.history[key][-1].value if key in self.history else None

    def get(self, key: str, steps_back: int = 0) -> StoredValue | None:
        """Return the version to serve, from the snapshot or else from the history."""
        if self.frozen is not None:
            return self.frozen.get(key)
        versions = self.history.get(key)
        return versions[max(0, len(versions) - 1 - steps_back)] if versions else None

    def freeze(self, frozen: bool) -> None:
        """Serve a snapshot of the present values, or the newest values again."""
        self.frozen = (
            {key: versions[-1] for key, versions in self.history.items()}
            if frozen
            else None
        )

    def publish_ticket(self, ticket: dict[str, Any]) -> int:
        """Store a ticket and update the index.

        The ticket is stored without validation, so that tests can publish invalid ones.
        """
        number = int(ticket["number"])
        index = self.newest("tickets/index")
        objects = dict(index["objects"])
        for name in ticket["objects"]:
            objects[name] = max(number, objects.get(name, 0))
        version = self.put(f"tickets/{number}", ticket)
        self.put(
            "tickets/index",
            {"highest": max(number, index["highest"]), "objects": objects},
        )
        return version

    def publish_instances(self, zone: str, document: dict[str, Any]) -> int:
        """Store the list of VMs of ``zone`` and update the list of zones."""
        version = self.put(f"vms/{zone}", document)
        zones = self.newest("vms/zones")["zones"]
        if zone not in zones:
            self.put("vms/zones", {"zones": sorted([*zones, zone])})
        return version
