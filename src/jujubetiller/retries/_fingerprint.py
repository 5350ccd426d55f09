"""The hash by which duplicate nested calls are detected."""

import xxhash


def compute_fingerprint(service: str, method: str, path: str, body: bytes) -> int:
    """Return a 64-bit hash of what makes two nested calls the same.

    >>> one = compute_fingerprint("ledger", "GET", "/a", b"")
    >>> one == compute_fingerprint("ledger", "GET", "/a", b"")
    True
    >>> one == compute_fingerprint("ledger", "GET", "/", b"a")
    False
    """
    head = xxhash.xxh3_64_intdigest(f"{service}\0{method}\0{path}".encode())
    return int(xxhash.xxh3_64_intdigest(body, seed=head))
