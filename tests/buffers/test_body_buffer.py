"""Guards against bodies whose small parts occupy far more memory than their bytes."""

import tracemalloc

import pytest

from jujubetiller import buffers

BODY_BYTES = 500_000
MAX_FACTOR = 2.0
"""Most memory that a body may occupy, as a multiple of its length."""


@pytest.mark.parametrize("part_bytes", [1, 2, 3, 16, 1_000, BODY_BYTES])
def test_a_body_occupies_little_more_than_its_bytes(part_bytes: int) -> None:
    buffer = buffers.BodyBuffer()
    tracemalloc.start()
    try:
        for start in range(0, BODY_BYTES, part_bytes):
            length = min(part_bytes, BODY_BYTES - start)
            buffer.add(bytes([start % 251]) * length)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes <= MAX_FACTOR * BODY_BYTES
    assert len(buffer.take()) == BODY_BYTES


def test_an_only_part_is_not_copied() -> None:
    part = bytes(10_000)
    buffer = buffers.BodyBuffer()
    buffer.add(part)
    assert buffer.take() is part
