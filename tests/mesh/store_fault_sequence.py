"""Random sequences of changes and of faults of the store, its paths and the nodes."""

import base64
import json
import random
from collections.abc import Callable

import attrs

from standins.fleet import store_fleet
from standins.mesh_site import documents

SERVICES = {f"{s}-{zone}": s for s in ("booth", "ledger") for zone in (1, 2, 3)}
ZONES = ("1", "2", "3")

STEP_MS = 50.0
FAULTS_END_MS = 17_000.0
LENGTH_MS = 25_000.0

STABLE_AFTER_MS = 3_000.0
"""A node or the store counts as undisturbed this long after the last disturbance."""

APPLY_MS = 2_000.0
"""Time from an acknowledgement until a version is in force."""

UNSTABLE_APPLY_MS = 7_000.0
"""The same while the store has been disturbed, but is not down."""

UNREADABLE_ENTRIES = (
    b"[" * 100_000,
    b"\xff\xfe",
    b'{"service": 1e400}',
    documents.encode(documents.INSTANCE, address="127.0.9.9:" + "9" * 5_000),
    documents.encode(documents.INSTANCE, capacity=10**300),
)


@attrs.frozen
class LateVersion:
    """A node that did not apply a version in time."""

    at_ms: float
    node: str
    version: int
    due: int


class StoreFaultSequence:
    """Plays one seeded sequence and records each version that is not in force in time.

    The operator and the instances write what a restored store has lost again.
    """

    def __init__(self, seed: int, bounds: str = "") -> None:
        self.random = random.Random(seed)
        self.fleet = store_fleet.StoreFleet(SERVICES, bounds=bounds)
        self.fleet.store.page_items = self.random.choice((3, 500))
        self.version = 12
        self.acknowledged: list[tuple[float, int]] = []
        self.disturbed_until_ms = dict.fromkeys(SERVICES, 0.0)
        self.store_disturbed_until_ms = 0.0
        self.revisions: list[tuple[float, int]] = []
        """The revision of the store at each step of this history."""

        self.due_actions: list[tuple[float, Callable[[], None]]] = []
        self.late: list[LateVersion] = []
        self.fleet.network.run_for(STABLE_AFTER_MS)

    def run(self, has_silences: bool = False) -> None:
        """Play the sequence; ``has_silences`` adds connections that go silent."""
        actions: tuple[Callable[[], None], ...] = (
            *[self.publish] * 5,
            *[self.restore] * 2,
            *[self.write_unreadable_entry] * 2,
            self.cut_store,
            self.cut_zones,
            self.kill_node,
            self.freeze_node,
            self.compact,
        )
        if has_silences:
            actions = (*actions, *[self.silence_store] * 3, *[self.silence_all] * 2)
        for _ in range(self.random.randint(6, 24)):
            delay_ms = self.random.uniform(0.0, FAULTS_END_MS)
            self.after(delay_ms, self.random.choice(actions))
        end_ms = self.now_ms() + LENGTH_MS
        while self.now_ms() < end_ms:
            self.run_due_actions()
            self.fleet.network.run_for(STEP_MS)
            self.revisions.append((self.now_ms(), self.fleet.store.revision))
            self.check()

    def now_ms(self) -> float:
        return self.fleet.network.now_ms

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        self.due_actions.append((self.now_ms() + delay_ms, action))

    def run_due_actions(self) -> None:
        now_ms = self.now_ms()
        due = [each for each in self.due_actions if each[0] <= now_ms]
        self.due_actions = [each for each in self.due_actions if each[0] > now_ms]
        for _, action in sorted(due, key=lambda each: each[0]):
            action()

    def disturb(self, name: str, duration_ms: float) -> None:
        until_ms = self.now_ms() + duration_ms
        self.disturbed_until_ms[name] = max(self.disturbed_until_ms[name], until_ms)

    def publish(self) -> None:
        if self.fleet.store_site.down:
            self.after(200.0, self.publish)
            return
        self.version += self.random.choice((1, 2, 4))
        service = self.random.choice(("booth", "ledger"))
        self.fleet.publish_configuration(self.version, service)
        self.acknowledged.append((self.now_ms(), self.version))

    def write_unreadable_entry(self) -> None:
        key = f"servers/other-{self.random.randrange(3)}"
        is_removed = key in self.fleet.store.items and self.random.random() < 0.3
        value = None if is_removed else self.random.choice(UNREADABLE_ENTRIES)
        self.fleet.publish(key, value)

    def restore(self) -> None:
        if self.fleet.store_site.down:
            return
        lost_ms = self.random.choice((500.0, 2_000.0, 5_000.0, 9_000.0))
        down_ms = self.random.choice((0.0, 200.0, 1_000.0, 2_000.0))
        is_silent = self.random.random() < 0.4
        copied_at_ms = self.now_ms() - lost_ms
        copies = [each for at_ms, each in self.revisions if at_ms <= copied_at_ms]
        revision = max(copies, default=1)
        self.fleet.store_site.down = True
        if is_silent:
            for zone in ZONES:
                self.fleet.cut_store(zone)
        else:
            self.fleet.store_site.cut_watches()
        self.store_disturbed_until_ms = self.now_ms() + down_ms
        self.after(down_ms, lambda: self.return_store(revision, is_silent))

    def return_store(self, revision: int, is_silent: bool) -> None:
        self.fleet.store_site.down = False
        if is_silent:
            for zone in ZONES:
                self.heal_store(zone)
        self.fleet.store.restore(revision)
        self.revisions = [each for each in self.revisions if each[1] <= revision]
        self.store_disturbed_until_ms = self.now_ms()
        delay_ms = self.random.choice((0.0, 50.0, 500.0, 1_500.0))
        self.after(delay_ms, self.write_again)

    def write_again(self) -> None:
        if self.fleet.store_site.down:
            self.after(200.0, self.write_again)
            return
        if self.read_stored_version() < self.version:
            self.fleet.publish_configuration(self.version, "ledger")
        for name in SERVICES:
            self.fleet.publish_instance(name, sequence=int(self.now_ms()))

    def read_stored_version(self) -> int:
        item = self.fleet.store.items.get("op/config")
        if item is None:
            return 0
        return int(json.loads(base64.b64decode(item["value"]))["version"], 16)

    def cut_store(self) -> None:
        zone = self.random.choice(ZONES)
        duration_ms = self.random.choice((500.0, 2_000.0, 6_000.0))
        self.fleet.cut_store(zone)
        for name in SERVICES:
            if name.endswith(zone):
                self.disturb(name, duration_ms)
        self.after(duration_ms, lambda: self.heal_store(zone))

    def heal_store(self, zone: str) -> None:
        self.fleet.network.cuts.discard((zone, store_fleet.STORE_ZONE))
        self.fleet.network.cuts.discard((store_fleet.STORE_ZONE, zone))
        for name in SERVICES:
            if name.endswith(zone):
                self.disturb(name, 0.0)

    def silence_store(self) -> None:
        """Let the open connections to the store go silent, at times twice in a row."""
        self.silence_open_connections()
        if self.random.random() < 0.5:
            delay_ms = self.random.uniform(0.0, STABLE_AFTER_MS)
            self.after(delay_ms, self.silence_open_connections)

    def silence_open_connections(self) -> None:
        self.fleet.silence_store()
        for name in SERVICES:
            self.disturb(name, 0.0)

    def silence_all(self) -> None:
        """The same with the streams between nodes."""
        self.silence_open_connections()
        for name in SERVICES:
            for other in SERVICES:
                self.fleet.network.silence(name, other)

    def cut_zones(self) -> None:
        one, other = self.random.sample(ZONES, 2)
        cuts = {(one, other), (other, one)}
        self.fleet.network.cuts |= cuts
        self.after(
            self.random.choice((500.0, 2_000.0, 6_000.0)),
            lambda: self.fleet.network.cuts.difference_update(cuts),
        )

    def kill_node(self) -> None:
        name = self.random.choice(tuple(SERVICES))
        if self.fleet.network.processes[name].is_dead:
            return
        duration_ms = self.random.choice((100.0, 600.0, 2_000.0))
        self.disturb(name, duration_ms)
        self.fleet.kill_node(name)
        self.after(duration_ms, lambda: self.start_node(name))

    def start_node(self, name: str) -> None:
        self.disturb(name, 0.0)
        self.fleet.start_node(name)

    def freeze_node(self) -> None:
        name = self.random.choice(tuple(SERVICES))
        process = self.fleet.network.processes[name]
        if process.is_dead:
            return
        duration_ms = self.random.choice((500.0, 3_000.0))
        self.disturb(name, duration_ms)
        process.is_frozen = True
        self.after(duration_ms, lambda: self.fleet.network.thaw(process))

    def compact(self) -> None:
        self.fleet.store.compact()
        if self.random.random() < 0.5:
            self.fleet.store_site.cut_watches()

    def check(self) -> None:
        """Record the undisturbed nodes that do not apply what they should by now."""
        now_ms = self.now_ms()
        if self.fleet.store_site.down:
            return
        is_stable = now_ms - self.store_disturbed_until_ms >= STABLE_AFTER_MS
        limit_ms = APPLY_MS if is_stable else UNSTABLE_APPLY_MS
        due = max(
            (each for at_ms, each in self.acknowledged if at_ms <= now_ms - limit_ms),
            default=0,
        )
        for name, node in self.fleet.nodes.items():
            process = self.fleet.network.processes[name]
            if process.is_dead or process.is_frozen or not node.parts.is_ready():
                continue
            if now_ms - self.disturbed_until_ms[name] < STABLE_AFTER_MS:
                continue
            version = store_fleet.version_of(node)
            if version < due:
                self.late.append(LateVersion(now_ms, name, version, due))
