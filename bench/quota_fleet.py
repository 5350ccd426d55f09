"""Nodes with quotas in memory: a store, a network with faults, and skewed clocks."""

import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable

from jujubetiller import clock, quotas, settings
from jujubetiller.mesh import _quota_message

IN_ZONE_MS = 0.2
BETWEEN_ZONES_MS = 1.4
CONFIGURATION_MS = 2_500.0
QUOTA = settings.QuotaSettings()


class SkewedClock(clock.Clock):
    """The boot clock of one VM, which runs at its own rate from its own start."""

    def __init__(self, fleet: "Fleet", rate: float, start_ms: float) -> None:
        self.fleet, self.rate, self.start_ms = fleet, rate, start_ms

    def now_ms(self) -> float:
        return self.start_ms + self.fleet.now_ms * self.rate


class Process(quotas.Transport):
    """One node process; ``is_alive`` ends with a restart or a removal."""

    def __init__(self, fleet: "Fleet", host: str, zone: str, rate: float) -> None:
        self.fleet, self.host, self.zone = fleet, host, zone
        self.clock = SkewedClock(fleet, rate, fleet.random.uniform(0.0, 1e6))
        self.is_alive = True
        self.frozen_until_ms = 0.0
        self.as_of_ms = float("-inf")
        self.listed: dict[str, str] = {}
        self.rounds = quotas.QuotaRounds(self.clock, fleet.random, self, host, zone)
        self.read_store()
        self.run_round()

    def run(self, function: Callable[[], None]) -> None:
        """Run an event now, after the process is frozen, or never."""
        if not self.is_alive:
            return
        if self.fleet.now_ms < self.frozen_until_ms:
            late_ms = self.frozen_until_ms - self.fleet.now_ms
            self.fleet.after(late_ms, lambda: self.run(function))
            return
        function()

    def after(self, delay_ms: float, function: Callable[[], None]) -> None:
        self.fleet.after(delay_ms, lambda: self.run(function))

    def call_later(
        self, delay_ms: float, function: Callable[[], None]
    ) -> Callable[[], None]:
        is_due = [True]

        def call() -> None:
            if is_due.pop():
                function()

        self.after(delay_ms / self.clock.rate, lambda: call() if is_due else None)
        return is_due.clear

    def ask(
        self,
        host: str,
        question: quotas.Question,
        answered: Callable[[quotas.Answer | None], None],
    ) -> None:
        self.fleet.messages += 1
        if self.fleet.counts_bytes:
            self.fleet.bytes += len(_quota_message.encode_question(question))

        def receive() -> None:
            peer = self.fleet.processes.get(host)
            if peer is not None and peer.is_alive:
                peer.run(lambda: peer.rounds.receive(question, reply))

        def reply(answer: quotas.Answer) -> None:
            if self.fleet.counts_bytes:
                self.fleet.bytes += len(_quota_message.encode_answer(answer))
            self.fleet.deliver(self, host, lambda: self.run(lambda: answered(answer)))

        self.fleet.deliver(self, host, receive)

    def read_store(self) -> None:
        """Learn the list, now and again, with the time as of which it is known."""
        fleet = self.fleet
        if fleet.reaches_store(self.host):
            sent_ms = self.clock.now_ms()
            taken = dict(fleet.listed)
            age_ms = fleet.random.uniform(0.0, fleet.max_read_age_ms)

            def apply() -> None:
                # A push may bring a newer list than the one that the age proves.
                self.listed = taken
                self.as_of_ms = max(self.as_of_ms, sent_ms - age_ms)
                self.update()

            self.after(fleet.random.uniform(1.0, 50.0), apply)
        self.after(fleet.random.uniform(300.0, 700.0), self.read_store)

    def update(self) -> None:
        zones: dict[str, set[str]] = {}
        for host, zone in self.listed.items():
            zones.setdefault(zone, set()).add(host)
        self.rounds.update_nodes(
            zones, frozenset(self.listed), self.host in self.listed, self.as_of_ms
        )

    def run_round(self) -> None:
        self.update()
        self.rounds.run_round()
        pause_ms = quotas.ROUND_MS * self.fleet.random.uniform(0.8, 1.2)
        self.after(pause_ms, self.run_round)


class Fleet:
    """Runs events in the order of their times, and records admissions by team."""

    def __init__(self, seed: int, max_skew: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.max_skew = max_skew
        self.now_ms = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.processes: dict[str, Process] = {}
        self.listed: dict[str, str] = {}
        self.side: dict[str, int] = {}
        """Side of a partition, by host; the store is on side 0."""

        self.loss = self.late = self.repeated = 0.0
        self.max_read_age_ms = 800.0
        self.teams: dict[str, tuple[float, float]] = {}
        self.version = 0
        self.bounds: dict[str, list[tuple[float, float]]] = collections.defaultdict(
            list
        )
        """The bound from each time on, by team."""

        self.admitted: dict[str, list[float]] = collections.defaultdict(list)
        self.refused: collections.Counter[str] = collections.Counter()
        self.messages = self.bytes = 0
        self.counts_bytes = False
        self.highest_share_sum = 0.0
        """The highest sum seen of the shares that all processes may use at a time."""

    def after(self, delay_ms: float, function: Callable[[], None]) -> None:
        heapq.heappush(
            self.events, (self.now_ms + delay_ms, next(self.order), function)
        )

    def run_for(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, function = heapq.heappop(self.events)
            function()
        self.now_ms = end_ms

    def watch_shares(self) -> None:
        """Record the sum of the shares in use, now and every 20 ms."""
        in_use = 0.0
        for process in self.processes.values():
            now_ms = process.clock.now_ms()
            entries = process.rounds.coordinator.delegations.entries.values()
            in_use += sum(entry.share for entry in entries if entry.until_ms > now_ms)
        self.highest_share_sum = max(self.highest_share_sum, in_use)
        self.after(20.0, self.watch_shares)

    def reaches_store(self, host: str) -> bool:
        return self.side.get(host, 0) == 0

    def deliver(
        self, process: Process, host: str, function: Callable[[], None]
    ) -> None:
        """Deliver a message, unless a fault of the network prevents it."""
        is_cut = self.side.get(process.host, 0) != self.side.get(host, 0)
        if is_cut or self.random.random() < self.loss:
            return
        peer = self.processes.get(host)
        is_near = peer is not None and peer.zone == process.zone
        delay_ms = IN_ZONE_MS if is_near else BETWEEN_ZONES_MS
        if self.random.random() < self.late:
            delay_ms += self.random.uniform(0.0, 2_500.0)
        self.after(delay_ms, function)
        if self.random.random() < self.repeated:
            self.after(delay_ms + self.random.uniform(0.0, 2_500.0), function)

    def start(self, host: str, zone: str) -> None:
        """Start a process with empty state, in place of one that may run there."""
        self.stop(host)
        rate = 1.0 + self.random.uniform(-self.max_skew, self.max_skew)
        process = self.processes[host] = Process(self, host, zone, rate)
        self.configure(process)

    def stop(self, host: str) -> None:
        process = self.processes.pop(host, None)
        if process is not None:
            process.is_alive = False

    def publish(self, teams: dict[str, tuple[float, float]]) -> None:
        """Change rates and bursts; nodes learn it within ``CONFIGURATION_MS``."""
        self.version += 1
        self.teams = dict(teams)
        for team, (rate_per_s, burst) in teams.items():
            window_s = QUOTA.window_ms / 1000.0
            expected = rate_per_s * window_s + burst
            bound = expected * (1.0 + QUOTA.overshoot) + QUOTA.slack
            self.bounds[team].append((self.now_ms, bound))
        for process in self.processes.values():
            delay_ms = self.random.uniform(0.0, CONFIGURATION_MS)
            process.after(delay_ms, functools.partial(self.configure, process))

    def configure(self, process: Process) -> None:
        limits = {
            team: quotas.derive_limit(rate_per_s, burst, QUOTA)
            for team, (rate_per_s, burst) in self.teams.items()
        }
        process.rounds.configure(limits, self.version)

    def request(self, host: str, team: str) -> None:
        process = self.processes.get(host)
        if process is None or self.now_ms < process.frozen_until_ms:
            return

        def refuse(refusal: quotas.Refusal) -> None:
            self.refused[team] += 1

        process.rounds.acquire(
            team, lambda token: self.admitted[team].append(self.now_ms), refuse
        )

    def send_steadily(
        self,
        team: str,
        hosts: list[str],
        per_s: float,
        end_ms: float,
        is_regular: bool = False,
    ) -> None:
        """Send requests at random or regular times, each to one of ``hosts``."""
        pause_ms = self.random.expovariate(per_s) * 1000.0
        if is_regular:
            pause_ms = self.random.uniform(0.8, 1.2) * 1000.0 / per_s
        if self.now_ms + pause_ms > end_ms:
            return

        def send() -> None:
            self.request(self.random.choice(hosts), team)
            self.send_steadily(team, hosts, per_s, end_ms, is_regular)

        self.after(pause_ms, send)

    def find_excess(self) -> list[str]:
        """Return the windows in which a team has had more than its bound."""
        found = []
        for team, times in self.admitted.items():
            first = 0
            for last, at_ms in enumerate(times):
                while times[first] <= at_ms - QUOTA.window_ms:
                    first += 1
                bound = self.highest_bound(team, at_ms - QUOTA.window_ms, at_ms)
                if last - first + 1 > bound:
                    found.append(f"{team}: {last - first + 1} > {bound} at {at_ms}")
        return found

    def highest_bound(self, team: str, start_ms: float, end_ms: float) -> float:
        """Return the highest bound that was valid at any time of a window.

        A lower one is valid once all nodes must know it.
        """
        bounds = self.bounds[team]
        valid = []
        for index, (from_ms, bound) in enumerate(bounds):
            until_ms = float("inf")
            if index + 1 < len(bounds):
                until_ms = bounds[index + 1][0] + CONFIGURATION_MS
            if from_ms <= end_ms and until_ms > start_ms:
                valid.append(bound)
        return max(valid)
