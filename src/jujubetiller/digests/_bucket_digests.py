"""Digests of a set of named entries, kept in a fixed number of buckets."""

from collections.abc import Mapping
from typing import Any

import xxhash

BUCKETS = 128
"""An index of all buckets takes about 1.7 KB; at 4,000 entries a bucket holds 31."""

_INDEX_DIGEST_BYTES = 8


class BucketDigests:
    """Finds the entries that differ between nodes, updating in constant time.

    The digest of a bucket is the exclusive or of the digests of its entries, so
    it does not depend on the order of changes. Two nodes compare the indexes of
    their buckets and exchange only the entries of buckets that differ, so that
    no message grows with the size of the whole set.
    """

    def __init__(self) -> None:
        self.digests: list[int] = [0] * BUCKETS
        self.names: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._index: dict[str, list[Any]] | None = None

    def change(self, name: str, old: bytes | None, new: bytes | None) -> None:
        """Replace the 16-byte digest ``old`` of the entry ``name`` with ``new``.

        The digests must cover the name. ``None`` means that the entry is absent.
        """
        self._index = None
        bucket = xxhash.xxh32_intdigest(name.encode()) % BUCKETS
        if old is not None:
            self.digests[bucket] ^= int.from_bytes(old, "big")
            self.names[bucket].discard(name)
        if new is not None:
            self.digests[bucket] ^= int.from_bytes(new, "big")
            self.names[bucket].add(name)

    def total(self) -> bytes:
        """Return a 16-byte digest of all entries."""
        return xxhash.xxh3_128_digest(
            b"".join(value.to_bytes(16, "big") for value in self.digests)
        )

    def index(self) -> dict[str, list[Any]]:
        """Return the digests of non-empty buckets; do not modify the result."""
        if self._index is None:
            self._index = {
                str(bucket): [value.to_bytes(16, "big")[:_INDEX_DIGEST_BYTES]]
                for bucket, value in enumerate(self.digests)
                if self.names[bucket]
            }
        return self._index

    def differing_names(self, other: Mapping[str, Any]) -> list[str]:
        """Return the names in the buckets that differ from index ``other``."""
        own = self.index()
        return [
            name
            for bucket, value in own.items()
            if other.get(bucket) != value
            for name in sorted(self.names[int(bucket)])
        ]
