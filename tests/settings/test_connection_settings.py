"""Guards against listeners that together take more descriptors than the process has."""

import pytest

from jujubetiller import settings

TARGET_AND_STORE = 5
"""Connections that a node needs beside those that are divided."""


@pytest.mark.parametrize(
    "max_descriptors", [300, 301, 600, 1_024, 4_100, 8_192, 65_536]
)
def test_the_parts_leave_room_for_the_target_and_the_store(
    max_descriptors: int,
) -> None:
    connections = settings.ConnectionSettings(max_descriptors)
    divided = (
        connections.count_clients()
        + 2 * connections.count_status()
        + 2 * connections.count_streams()
    )
    assert divided + TARGET_AND_STORE <= connections.count_sockets()
    assert min(connections.count_status(), connections.count_streams()) >= 4
