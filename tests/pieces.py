"""Splits data into pieces, as a connection may deliver it."""

from collections.abc import Iterator


def cut(data: bytes, cuts: list[int]) -> Iterator[bytes]:
    """Return ``data`` in pieces cut at ``cuts``; places beyond its end are ignored."""
    edges = sorted({0, len(data), *(place for place in cuts if place < len(data))})
    for start, end in zip(edges, edges[1:], strict=False):
        yield data[start:end]
