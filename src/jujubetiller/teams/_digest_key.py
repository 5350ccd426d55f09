"""The form in which API keys are kept."""

import hashlib


def digest_key(key: str) -> bytes:
    """Return the SHA-256 digest of an API key.

    Keys are long random texts, so the digest needs no salt to keep them secret.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()
