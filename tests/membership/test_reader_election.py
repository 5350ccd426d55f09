"""Guards against zones without a reader and against too many platform reads."""

import random

import pytest

from jujubetiller import clock, membership, settings

SETTINGS = settings.ControlSettings()
STEP_MS = 250
ZONE = [f"instance-{at}" for at in range(190)]
RECORDS = tuple(
    membership.InstanceRecord(name, "ledger", "puchong", "127.0.0.1", 7)
    for name in ZONE
)


def make_zone(
    names: list[str], seed: int = 1
) -> tuple[clock.ManualClock, dict[str, membership.ReaderElection]]:
    manual_clock = clock.ManualClock(-SETTINGS.join_wait_ms)
    elections = {
        name: membership.ReaderElection(
            manual_clock,
            random.Random(f"{seed}/{name}"),
            SETTINGS,
            name,
            "puchong",
            membership.PlatformFreshness(manual_clock),
        )
        for name in names
    }
    manual_clock.advance(SETTINGS.join_wait_ms)
    for election in elections.values():
        election.freshness.advanced_at_ms = 0.0
        election.peer_reachable_at_ms = 0.0
    return manual_clock, elections


def run_zone(
    manual_clock: clock.ManualClock,
    elections: dict[str, membership.ReaderElection],
    alive: list[str],
    duration_ms: int,
    platform_up: bool = True,
) -> tuple[int, int]:
    """Return the last reader count and the first time at which one read.

    Each reader gets an answer of the platform every 1,500 ms, at its own phase, and
    every 1,000 ms each node receives the lowest age that is known in the zone.
    """
    first_read_ms, readers = -1, []
    for at_ms in range(0, duration_ms, STEP_MS):
        manual_clock.advance(STEP_MS)
        for name in alive:
            elections[name].update_reachability(len(alive), len(alive) > 1, 4_000)
        readers = [name for name in alive if elections[name].is_reader(RECORDS)]
        if platform_up:
            for name in readers:
                phase_ms = ZONE.index(name) % 6 * STEP_MS
                known = elections[name].freshness.zone_age_ms() >= 0
                if at_ms % 1_500 == phase_ms or not known:
                    elections[name].freshness.record_read()
                    first_read_ms = at_ms if first_read_ms < 0 else first_read_ms
        if at_ms % 1_000 == 0:
            ages = [elections[name].freshness.zone_age_ms() for name in alive]
            for name, own_age in zip(alive, ages, strict=True):
                others = [age for age in ages if age >= 0 and age != own_age]
                elections[name].freshness.record_peer_age(min(others, default=-1.0))
    return len(readers), first_read_ms


def test_a_whole_zone_has_exactly_its_readers() -> None:
    manual_clock, elections = make_zone(ZONE)
    readers, _ = run_zone(manual_clock, elections, ZONE, 20_000)
    assert readers == SETTINGS.readers_per_zone
    assert all(election.takeover_count == 0 for election in elections.values())


@pytest.mark.parametrize(
    ("kept", "longest_ms"),
    [(slice(2, None), 3_500), (slice(100, 105), 12_000), (slice(150, 151), 3_000)],
    ids=["both readers failed", "a partition with high ranks only", "a single node"],
)
def test_a_partition_without_readers_takes_over_in_bounded_time(
    kept: slice, longest_ms: int
) -> None:
    manual_clock, elections = make_zone(ZONE)
    by_rank = sorted(ZONE, key=lambda name: elections[name].rank(RECORDS))
    alive = by_rank[kept]
    readers, first_read_ms = run_zone(manual_clock, elections, alive, 40_000)
    assert 0 <= first_read_ms <= longest_ms
    assert 1 <= readers <= max(3, len(alive) // 10)


def test_acting_readers_stop_once_the_elected_ones_read_again() -> None:
    manual_clock, elections = make_zone(ZONE)
    by_rank = sorted(ZONE, key=lambda name: elections[name].rank(RECORDS))
    run_zone(manual_clock, elections, by_rank[2:], 10_000)
    assert any(election.acting for election in elections.values())
    readers, _ = run_zone(manual_clock, elections, by_rank, 90_000)
    assert readers == SETTINGS.readers_per_zone


class UnthrottledElection(membership.ReaderElection):
    """Always reads at the usual rate, to prove that the check can fail."""

    def fleet_readers(self) -> float:
        return 1.0


def count_fleet_reads(
    election_type: type[membership.ReaderElection], partition_size: int, acting: bool
) -> float:
    """Return the reads per second of 4,000 nodes in partitions of ``partition_size``.

    The nodes fetch a new ticket within the window of their random delays.
    """
    manual_clock = clock.ManualClock()
    freshness = membership.PlatformFreshness(manual_clock)
    election = election_type(
        manual_clock, random.Random(1), SETTINGS, ZONE[0], "puchong", freshness
    )
    election.acting = acting
    election.update_reachability(partition_size, partition_size > 1, 4_000)
    readers = 4_000 if acting else 4_000 * min(2, partition_size) / partition_size
    per_reader = 1_000 / election.index_period_ms(1_500)
    per_reader += 1_000 / election.list_period_ms(1_500)
    window_ms = max(election.fetch_delay_ms() for _ in range(1_000))
    fetches = readers * 1_000 / window_ms if window_ms else 0.0
    return readers * per_reader + fetches


@pytest.mark.parametrize("partition_size", [1, 2, 3, 5, 7, 16, 190])
@pytest.mark.parametrize("acting", [False, True])
def test_reads_of_a_partitioned_fleet_stay_within_the_platform_rate(
    partition_size: int, acting: bool
) -> None:
    reads = count_fleet_reads(membership.ReaderElection, partition_size, acting)
    assert reads <= 2_000
    if acting or partition_size <= 2:
        assert count_fleet_reads(UnthrottledElection, partition_size, acting) > 2_000


def test_an_age_forwarded_in_a_cycle_never_appears_younger() -> None:
    manual_clock = clock.ManualClock()
    nodes = [membership.PlatformFreshness(manual_clock) for _ in range(3)]
    nodes[0].record_read()
    for step in range(300):
        sender, receiver = nodes[step % 3], nodes[(step + 1) % 3]
        age_ms = sender.zone_age_ms()
        manual_clock.advance(20)
        receiver.record_peer_age(age_ms)
    assert min(node.zone_age_ms() for node in nodes) == 300 * 20


def test_an_age_that_is_not_a_number_is_ignored() -> None:
    freshness = membership.PlatformFreshness(clock.ManualClock())
    freshness.record_peer_age(float("nan"))
    freshness.record_other_zone_age(float("nan"))
    assert freshness.age_ms() == -1
