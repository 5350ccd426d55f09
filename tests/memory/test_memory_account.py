"""Guards against a node that exceeds its memory, or refuses more than it has to."""

import pytest

from jujubetiller import clock, memory

LIMIT_BYTES = 10_000_000
READING, REQUESTS, WAITING, ANSWERS, UNREAD = memory.Kind


class Owner(memory.HolderOwner):
    """A connection whose state the test sets."""

    def __init__(self, account: memory.MemoryAccount) -> None:
        self.holder = memory.Holder(account, self)
        self.held_back = False
        self.waits = True
        self.closed = False

    def measure(self) -> None:
        """The test measures."""

    def is_held_back(self) -> bool:
        return self.held_back

    def waits_for_client(self) -> bool:
        return self.waits

    def resume_reading(self) -> None:
        self.held_back = False
        self.holder.record_progress()

    def close_for_memory(self) -> None:
        self.closed = True
        self.holder.release()


class Crowd:
    """An account with connections that hold the same."""

    def __init__(self, count: int, held_bytes: int) -> None:
        self.clock = clock.ManualClock(1_000)
        self.account = memory.MemoryAccount(self.clock, LIMIT_BYTES)
        self.relief = memory.Relief(self.account)
        self.owners = [Owner(self.account) for _ in range(count)]
        for owner in self.owners:
            owner.holder.set(READING, held_bytes)
            self.clock.advance(1)

    def closed(self) -> list[int]:
        return [number for number, owner in enumerate(self.owners) if owner.closed]


def test_the_sum_follows_every_change_and_ends_at_nothing() -> None:
    """Guards against memory that stays counted after its connection is closed."""
    crowd = Crowd(2, 1_000)
    first, second = (owner.holder for owner in crowd.owners)
    first.set(ANSWERS, 500)
    second.set(READING, 0)
    second.set(REQUESTS, 700)
    crowd.account.sources["peers"] = lambda: 40
    crowd.account.sampled["peer_answers"] = 2
    assert crowd.account.total_bytes() == 1_000 + 500 + 700 + 42
    assert crowd.account.read_bytes() == {
        "limit": LIMIT_BYTES,
        "reading": 1_000,
        "requests": 700,
        "answers": 500,
        "waiting": 0,
        "unread": 0,
        "peers": 40,
        "peer_answers": 2,
    }
    assert crowd.account.oldest_age_ms() == 2
    first.release()
    second.release()
    assert crowd.account.total_bytes() == 42
    assert (crowd.account.oldest_age_ms(), crowd.account.holders) == (0.0, {})


@pytest.mark.parametrize("count", [1, 2, 10, 100])
def test_connections_that_grow_without_end_stay_below_the_limit(count: int) -> None:
    crowd = Crowd(count, 1)
    for _ in range(LIMIT_BYTES // 65_536 + 1):
        for owner in crowd.owners:
            holder = owner.holder
            if crowd.account.may_grow(holder):
                holder.set(READING, holder.held_bytes + 65_536)
    assert LIMIT_BYTES // 2 <= crowd.account.total_bytes() <= 0.8 * LIMIT_BYTES


def test_a_small_request_is_read_whatever_others_hold() -> None:
    crowd = Crowd(2, LIMIT_BYTES // 2 + 1)
    small = Owner(crowd.account).holder
    small.set(READING, memory.SMALL_BYTES)
    assert crowd.account.may_grow(small)
    assert not crowd.account.may_grow(crowd.owners[0].holder)


def test_connections_without_progress_are_closed_oldest_first() -> None:
    crowd = Crowd(8, LIMIT_BYTES // 10)
    crowd.clock.advance(1_990)
    crowd.owners[0].holder.record_progress()
    crowd.owners[1].waits = False
    crowd.clock.advance(20)
    crowd.relief.check()
    assert crowd.closed() == [2, 3, 4]
    assert crowd.account.closed == 3


def test_nothing_is_closed_below_the_first_threshold() -> None:
    """Guards against limits that a slow client on an idle node reaches."""
    crowd = Crowd(4, LIMIT_BYTES // 10)
    crowd.clock.advance(1e9)
    crowd.relief.check()
    assert crowd.closed() == []


def test_one_of_those_held_back_is_read_to_its_end() -> None:
    """Guards against requests that wait for each other's memory."""
    crowd = Crowd(8, LIMIT_BYTES // 10)
    for owner in crowd.owners:
        owner.held_back = True
    crowd.relief.check()
    crowd.relief.check()
    assert [owner.held_back for owner in crowd.owners] == [False] + [True] * 7
    first, second = (owner.holder for owner in crowd.owners[:2])
    assert crowd.account.may_grow(first)
    first.set(REQUESTS, first.held[READING])
    first.set(READING, 0)
    crowd.relief.check()
    assert not crowd.owners[1].held_back
    assert crowd.account.may_grow(second) and not crowd.account.may_grow(first)


def test_connections_that_are_held_back_for_long_are_closed() -> None:
    crowd = Crowd(8, LIMIT_BYTES // 10)
    for owner in crowd.owners:
        owner.held_back = True
    crowd.clock.advance(4_100)
    crowd.relief.check()
    assert crowd.closed() == [0, 1, 2]
    assert not any(owner.held_back for owner in crowd.owners[3:])


@pytest.mark.parametrize(("limit_mb", "expected_mb"), [(64, 16), (200, 144)])
def test_the_limit_leaves_what_a_node_needs(limit_mb: int, expected_mb: int) -> None:
    assert memory.find_limit_bytes(limit_mb) == expected_mb * 1_048_576


def test_connections_that_are_not_read_are_closed_at_the_limit() -> None:
    """Guards against bytes that the system holds for connections that are not read."""
    crowd = Crowd(4, 1_000_000)
    for owner in crowd.owners[1:]:
        owner.held_back = True
        owner.holder.set(UNREAD, 3_000_000)
    crowd.relief.check()
    assert crowd.closed() == [1]
    assert crowd.account.total_bytes() < LIMIT_BYTES
    assert crowd.account.closed == 1


@pytest.mark.parametrize(
    ("held_bytes", "is_full", "may_wait"),
    [
        (LIMIT_BYTES // 8, True, True),
        (LIMIT_BYTES // 8 + 1, True, False),
        (LIMIT_BYTES // 4, False, True),
        (LIMIT_BYTES // 4 + 1, False, False),
    ],
)
def test_requests_that_wait_have_a_limit_of_their_own(
    held_bytes: int, is_full: bool, may_wait: bool
) -> None:
    """Guards against many small objects, whose memory bodies cannot use afterwards."""
    crowd = Crowd(1, 0)
    crowd.owners[0].holder.set(WAITING, held_bytes)
    assert crowd.account.may_wait(is_full) == may_wait
