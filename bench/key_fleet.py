"""A model fleet that runs requests with execution keys under a schedule of faults.

Time advances in ticks. A place is a numbered position of the service; the platform's
VM list names the process that holds it. Faults change processes, connections between
zones, the platform and which nodes read the current list.
"""

import abc
import collections
import random
from collections.abc import Callable

import attrs

TICK_MS = 100
ZONES = 3
PLACES = 12
ENTRIES = 6
REQUESTS_PER_TICK = 12
DETECT_MS = 1_500
"""Time without an answer after which a node treats a process as unreachable."""

LIST_LAG_MS = 1_000
LOST_ANSWERS = 0.05
RETRY_DELAY_MS = 2_000
MAX_RETRIES = 5
CLOCK_SKEW_MS = 200


@attrs.define(eq=False)
class Process:
    """One process of the service, which may run calls under keys."""

    place: int
    zone: int
    listed_from_ms: float
    """When this process began to hold its place; it refuses keys created earlier."""

    alive: bool = True
    paused: bool = False
    reads_stale_list: bool = False
    holds_place: bool = True
    """Whether the process assumes that it holds its place; can be stale."""

    lease_until_ms: float = 0.0
    seen_keys: set[int] = attrs.field(factory=set)
    inbox: list["Key"] = attrs.field(factory=list)
    accepted: list["Key"] = attrs.field(factory=list)
    """Calls that were accepted but not yet handed to the target before a pause."""


@attrs.define(eq=False)
class Key:
    """One key, the process that it is bound to and the retries under it."""

    number: int
    created_ms: float
    """Read from the clock of the entry node that minted the key."""

    place: int
    process: Process | None
    retries: int = 0


@attrs.define
class Counts:
    """How the requests of one run ended."""

    requests: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    ran_twice: int = 0


class KeyOption(abc.ABC):
    """A way of binding a key so that only one process runs it."""

    @abc.abstractmethod
    def mint(self, fleet: "Fleet", entry: int, key: Key) -> bool:
        """Bind a new key; return False if the request must be refused."""

    @abc.abstractmethod
    def find(self, fleet: "Fleet", entry: int, key: Key) -> Process | None:
        """Return the process that the entry node sends the key to."""

    @abc.abstractmethod
    def accepts(self, fleet: "Fleet", process: Process, key: Key) -> bool:
        """Return whether the process accepts a key that it has not seen before."""

    @abc.abstractmethod
    def renew(self, fleet: "Fleet") -> None:
        """Renew what the option grants for a limited time; called in every tick."""


class Fleet:
    """The state of the model; ``schedule`` maps a time in ms to a change."""

    def __init__(
        self,
        option: KeyOption,
        schedule: dict[int, Callable[["Fleet"], None]],
        seed: int,
    ) -> None:
        self.option = option
        self.schedule = schedule
        self.random_source = random.Random(seed)
        self.now_ms = 0.0
        self.platform_up = True
        self.cut_zone: int | None = None
        self.stale_entries: set[int] = set()
        self.processes = [
            Process(place, place % ZONES, listed_from_ms=-100_000.0)
            for place in range(PLACES)
        ]
        self.listed = list(self.processes)
        self.views = [list(self.processes) for _ in range(ENTRIES)]
        self.list_changes: list[tuple[float, int, Process]] = []
        self.skews_ms = [
            self.random_source.uniform(-CLOCK_SKEW_MS, CLOCK_SKEW_MS)
            for _ in range(ENTRIES)
        ]
        self.silent_since: dict[tuple[int, Process], float] = {}
        self.due_retries: dict[float, list[Key]] = {}
        self.runs: collections.Counter[int] = collections.Counter()
        self.counts = Counts()

    def run(self, duration_ms: int) -> Counts:
        """Run the schedule and return how the requests ended."""
        while self.now_ms < duration_ms:
            self._tick(new_requests=True)
        while self.due_retries:
            self._tick(new_requests=False)
        self.counts.ran_twice = sum(number > 1 for number in self.runs.values())
        return self.counts

    def zone_of(self, entry: int) -> int:
        """Return the zone of an entry node."""
        return entry % ZONES

    def connects(self, zone: int, other_zone: int) -> bool:
        """Return whether messages pass between two zones."""
        return zone == other_zone or self.cut_zone not in (zone, other_zone)

    def sees_platform(self, zone: int) -> bool:
        """Return whether a node in ``zone`` can read the current list."""
        return self.platform_up and zone != self.cut_zone

    def believes_reachable(self, entry: int, process: Process) -> bool:
        """Return whether the entry node still treats the process as reachable.

        Detection takes ``DETECT_MS``.
        """
        since = self.silent_since.get((self.zone_of(entry), process))
        return since is None or self.now_ms - since < DETECT_MS

    def replace(self, place: int, zone: int) -> Process:
        """Start another process for a place and put it on the list."""
        process = Process(place, zone, listed_from_ms=self.now_ms)
        self.processes.append(process)
        self.list_process(place, process)
        return process

    def list_process(self, place: int, process: Process) -> None:
        """Change the platform's list; nodes read the change ``LIST_LAG_MS`` later."""
        self.listed[place] = process
        self.list_changes.append((self.now_ms + LIST_LAG_MS, place, process))

    def wake(self, process: Process) -> None:
        """Resume a paused process: run accepted calls, then handle its inbox."""
        process.paused = False
        for key in process.accepted:
            self.runs[key.number] += 1
        process.accepted = []
        inbox, process.inbox = process.inbox, []
        for key in inbox:
            self._handle(process, key)

    def _tick(self, new_requests: bool) -> None:
        change = self.schedule.get(int(self.now_ms))
        if change is not None:
            change(self)
        self._propagate_lists()
        self._record_silence()
        self.option.renew(self)
        for key in self.due_retries.pop(self.now_ms, []):
            entry = self.random_source.randrange(ENTRIES)
            self._send(entry, key, self.option.find(self, entry, key))
        if new_requests:
            for _ in range(REQUESTS_PER_TICK):
                self._request(self.random_source.randrange(ENTRIES))
        self.now_ms += TICK_MS

    def _propagate_lists(self) -> None:
        for entry in range(ENTRIES):
            if self.sees_platform(self.zone_of(entry)):
                for due_ms, place, process in self.list_changes:
                    if entry not in self.stale_entries and due_ms <= self.now_ms:
                        self.views[entry][place] = process
        for process in self.processes:
            fresh = self.sees_platform(process.zone) and not process.reads_stale_list
            listed = self.listed[process.place] is process
            if fresh and not process.paused and not listed:
                process.holds_place = not any(
                    place == process.place and due_ms <= self.now_ms
                    for due_ms, place, _ in self.list_changes
                )

    def _record_silence(self) -> None:
        for zone in range(ZONES):
            for process in self.processes:
                answers = process.alive and not process.paused
                if answers and self.connects(zone, process.zone):
                    self.silent_since.pop((zone, process), None)
                else:
                    self.silent_since.setdefault((zone, process), self.now_ms)

    def _request(self, entry: int) -> None:
        self.counts.requests += 1
        key = Key(
            number=self.counts.requests,
            created_ms=self.now_ms + self.skews_ms[entry],
            place=self.random_source.randrange(PLACES),
            process=None,
        )
        if not self.option.mint(self, entry, key):
            self.counts.refused += 1
            return
        self._send(entry, key, self.option.find(self, entry, key))

    def _send(self, entry: int, key: Key, process: Process | None) -> None:
        if process is not None and process.alive:
            connected = self.connects(self.zone_of(entry), process.zone)
            if process.paused and connected:
                process.inbox.append(key)
            elif connected and not self._handle(process, key):
                if key.retries == 0:
                    # The only copy was refused, so the call certainly did not run.
                    self.counts.refused += 1
                    return
            elif connected and self.random_source.random() >= LOST_ANSWERS:
                self.counts.answered += 1
                return
        if key.retries >= MAX_RETRIES:
            self.counts.unknown += 1
            return
        key.retries += 1
        self.due_retries.setdefault(self.now_ms + RETRY_DELAY_MS, []).append(key)

    def _handle(self, process: Process, key: Key) -> bool:
        """Run a key or replay its answer; return False if the process refuses it."""
        if key.number in process.seen_keys:
            return True
        if not self.option.accepts(self, process, key):
            return False
        process.seen_keys.add(key.number)
        self.runs[key.number] += 1
        return True

    def pause(self, process: Process) -> None:
        """Pause a process after it accepts a call and before the call runs."""
        key = Key(0, self.now_ms, process.place, process)
        self.counts.requests += 1
        key.number = self.counts.requests
        if self.option.accepts(self, process, key):
            process.seen_keys.add(key.number)
            process.accepted.append(key)
            process.paused = True
            key.retries = 1
            self.due_retries.setdefault(self.now_ms + RETRY_DELAY_MS, []).append(key)
        process.paused = True
