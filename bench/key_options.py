"""Compares three ways to bind execution keys under the same schedules of faults.

``python -m bench.key_options`` prints the table of docs/decisions/keys.md. The
model does no input or output and is computed from fixed seeds.
"""

from collections.abc import Callable

import attrs

from bench import key_fleet

FAULT_AT_MS = 20_000
FAULT_END_MS = 80_000
DURATION_MS = 100_000
LEASE_MS = 10_000
TICKET_SPREAD_MS = 4_000
SEEDS = range(5)


class NamedInstance(key_fleet.KeyOption):
    """(a) The key names a process that is reachable when the key is minted."""

    def mint(self, fleet: key_fleet.Fleet, entry: int, key: key_fleet.Key) -> bool:
        known = [
            process
            for process in fleet.views[entry]
            if fleet.believes_reachable(entry, process)
        ]
        if known:
            key.process = fleet.random_source.choice(known)
        return bool(known)

    def find(
        self, fleet: key_fleet.Fleet, entry: int, key: key_fleet.Key
    ) -> key_fleet.Process | None:
        return key.process

    def accepts(
        self, fleet: key_fleet.Fleet, process: key_fleet.Process, key: key_fleet.Key
    ) -> bool:
        return key.process is process

    def renew(self, fleet: key_fleet.Fleet) -> None:
        """Do nothing; this option grants nothing for a limited time."""


class HashedPlace(key_fleet.KeyOption):
    """(b) The key hashes to a place; a new holder refuses keys older than itself."""

    def mint(self, fleet: key_fleet.Fleet, entry: int, key: key_fleet.Key) -> bool:
        return fleet.believes_reachable(entry, fleet.views[entry][key.place])

    def find(
        self, fleet: key_fleet.Fleet, entry: int, key: key_fleet.Key
    ) -> key_fleet.Process | None:
        return fleet.views[entry][key.place]

    def accepts(
        self, fleet: key_fleet.Fleet, process: key_fleet.Process, key: key_fleet.Key
    ) -> bool:
        return process.holds_place and key.created_ms >= process.listed_from_ms

    def renew(self, fleet: key_fleet.Fleet) -> None:
        """Do nothing; this option grants nothing for a limited time."""


class LeasedPlace(HashedPlace):
    """(c) As (b), and the holder needs a lease from the platform.

    The product may not write such leases; the model grants them only for
    comparison.
    """

    def accepts(
        self, fleet: key_fleet.Fleet, process: key_fleet.Process, key: key_fleet.Key
    ) -> bool:
        leased = fleet.now_ms < process.lease_until_ms
        return leased and key.created_ms >= process.listed_from_ms

    def renew(self, fleet: key_fleet.Fleet) -> None:
        for place, holder in enumerate(fleet.listed):
            usable = holder.alive and not holder.paused
            if not usable or not fleet.sees_platform(holder.zone):
                continue
            blocked = any(
                other is not holder
                and other.place == place
                and other.lease_until_ms > fleet.now_ms
                for other in fleet.processes
            )
            if blocked:
                continue
            if holder.lease_until_ms <= fleet.now_ms and fleet.now_ms > 0:
                holder.listed_from_ms = fleet.now_ms
            holder.lease_until_ms = fleet.now_ms + LEASE_MS


Change = Callable[[key_fleet.Fleet], None]


def set_platform(up: bool) -> Change:
    """Return the change that stops or starts the platform."""

    def change(fleet: key_fleet.Fleet) -> None:
        fleet.platform_up = up

    return change


def set_cut_zone(zone: int | None) -> Change:
    """Return the change that cuts off ``zone``, or reconnects it if None."""

    def change(fleet: key_fleet.Fleet) -> None:
        fleet.cut_zone = zone

    return change


def kill(fleet: key_fleet.Fleet) -> None:
    """Kill the VM of place 0."""
    fleet.listed[0].alive = False


def replace(fleet: key_fleet.Fleet) -> None:
    """List a new VM for place 0; the old one keeps running if it is alive."""
    fleet.replace(0, zone=0)


def pause(fleet: key_fleet.Fleet) -> None:
    """Pause the holder of place 0."""
    fleet.pause(fleet.listed[0])


def wake(fleet: key_fleet.Fleet) -> None:
    """Resume every paused process."""
    for process in fleet.processes:
        if process.paused:
            fleet.wake(process)


def replace_unseen_by_half(fleet: key_fleet.Fleet) -> None:
    """Replace the VM of place 0; it and half of the entry nodes read a stale list."""
    fleet.stale_entries = set(range(0, key_fleet.ENTRIES, 2))
    fleet.listed[0].reads_stale_list = True
    fleet.replace(0, zone=0)


def end_staleness(fleet: key_fleet.Fleet) -> None:
    """Let all nodes read the current list again."""
    fleet.stale_entries = set()
    for process in fleet.processes:
        process.reads_stale_list = False


def move_service(fleet: key_fleet.Fleet) -> None:
    """Move each place to a VM in the next zone by a ticket that spreads within 4 s."""
    for place in range(key_fleet.PLACES):
        fleet.replace(place, zone=(place + 1) % key_fleet.ZONES)
    spread = key_fleet.LIST_LAG_MS, TICKET_SPREAD_MS
    fleet.list_changes = [
        (fleet.now_ms + fleet.random_source.uniform(*spread), place, process)
        for _, place, process in fleet.list_changes
    ]


SCHEDULES: dict[str, dict[int, Change]] = {
    "no fault": {},
    "platform outage of 60 s": {
        FAULT_AT_MS: set_platform(False),
        FAULT_END_MS: set_platform(True),
    },
    "the same, and a VM dies": {
        FAULT_AT_MS: set_platform(False),
        25_000: kill,
        40_000: replace,
        FAULT_END_MS: set_platform(True),
    },
    "owner paused 30 s, replaced, woken": {
        FAULT_AT_MS: pause,
        30_000: replace,
        30_600: wake,
    },
    "owner's VM replaced after 15 s": {FAULT_AT_MS: kill, 35_000: replace},
    "zone cut for 60 s": {
        FAULT_AT_MS: set_cut_zone(2),
        FAULT_END_MS: set_cut_zone(None),
    },
    "VM list stale for 30 s": {
        FAULT_AT_MS: replace_unseen_by_half,
        50_000: end_staleness,
    },
    "ticket moves the service": {FAULT_AT_MS: move_service},
}

OPTIONS: dict[str, type[key_fleet.KeyOption]] = {
    "(a) named instance": NamedInstance,
    "(b) hashed place": HashedPlace,
    "(c) leased place": LeasedPlace,
}


def measure(
    option: type[key_fleet.KeyOption], schedule: dict[int, Change]
) -> key_fleet.Counts:
    """Return the counts of one option under one schedule over all seeds."""
    total = key_fleet.Counts()
    for seed in SEEDS:
        counts = key_fleet.Fleet(option(), schedule, seed).run(DURATION_MS)
        for name, number in attrs.asdict(counts).items():
            setattr(total, name, getattr(total, name) + number)
    return total


def main() -> None:
    """Print a row with the counts for each schedule and option."""
    for name, schedule in SCHEDULES.items():
        for option_name, option in OPTIONS.items():
            counts = measure(option, schedule)
            print(
                f"{name:36} {option_name:20} requests {counts.requests} "
                f"refused {counts.refused} unknown {counts.unknown} "
                f"ran twice {counts.ran_twice}"
            )


if __name__ == "__main__":
    main()
