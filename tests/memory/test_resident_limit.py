"""Guards against memory that is resident and not counted."""

import pytest

from jujubetiller import clock, memory

MB = 1_048_576
LIMIT_MB = 200
HIGHEST_MB = 144
MARGIN_MB = 4


class Process(memory.ProcessMemory):
    """A process whose memory the test sets."""

    def __init__(self) -> None:
        self.resident_mb: int | None = 50
        self.returned = 0

    def read_resident_bytes(self) -> int | None:
        return None if self.resident_mb is None else self.resident_mb * MB

    def return_freed(self) -> None:
        self.returned += 1


class Node:
    """An account, and the limit that follows the memory of its process."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock(1_000)
        self.account = memory.MemoryAccount(self.clock, HIGHEST_MB * MB)
        self.process = Process()
        self.limit = memory.ResidentLimit(self.account, self.process)

    def check(self, held_mb: int, resident_mb: int | None) -> float:
        """Return the account's limit in MB after a check."""
        self.account.sampled["held"] = held_mb * MB
        self.process.resident_mb = resident_mb
        self.limit.check(LIMIT_MB)
        return self.account.limit_bytes / MB


@pytest.mark.parametrize(
    ("held_mb", "resident_mb", "limit_mb"),
    [
        (60, 105, HIGHEST_MB),
        (60, 116, HIGHEST_MB - MARGIN_MB),
        (60, 160, 100 - MARGIN_MB),
        (60, 400, 16),
        (60, 20, HIGHEST_MB),
        (60, None, HIGHEST_MB),
    ],
)
def test_the_limit_leaves_room_for_what_is_not_counted(
    held_mb: int, resident_mb: int | None, limit_mb: int
) -> None:
    assert Node().check(held_mb, resident_mb) == limit_mb


def test_the_limit_stays_lowered_until_the_memory_is_returned() -> None:
    """Guards against a crowd that is admitted beside what an earlier one has left."""
    node = Node()
    assert node.check(60, 160) == 100 - MARGIN_MB
    assert node.check(10, 110) == 100 - MARGIN_MB
    assert node.check(0, 100) == 100 - MARGIN_MB
    assert node.check(0, 50) == HIGHEST_MB


def test_a_node_that_held_little_keeps_its_limit() -> None:
    node = Node()
    assert node.check(10, 110) == HIGHEST_MB
    assert node.process.returned == 0


def test_freed_memory_is_returned_while_much_is_not_counted_and_not_too_often() -> None:
    node = Node()
    node.check(60, 105)
    assert node.process.returned == 0
    node.check(60, 160)
    node.clock.advance(100)
    node.check(60, 160)
    assert node.process.returned == 1
    node.clock.advance(2_000)
    node.check(10, 110)
    node.clock.advance(2_000)
    node.check(10, 110)
    assert node.process.returned == 2


def test_the_memory_of_this_process_is_known() -> None:
    process = memory.OwnProcessMemory()
    before = process.read_resident_bytes()
    assert before is not None and before > 0
    block = b"x" * (32 * MB)
    after = process.read_resident_bytes()
    assert after is not None and after >= before + len(block) // 2
    process.return_freed()


def test_what_a_crowd_leaves_is_returned_although_it_was_tried_shortly_before() -> None:
    node = Node()
    node.check(60, 160)
    node.clock.advance(100)
    node.check(0, 160)
    assert node.process.returned == 1
    for _ in range(100):
        node.clock.advance(100)
        node.check(0, 160)
    assert node.process.returned == 2


def test_unread_bytes_are_not_taken_for_memory_of_the_process() -> None:
    node = Node()
    node.account.add(memory.Kind.UNREAD, 30 * MB)
    assert node.check(60, 160) == 100 - MARGIN_MB
