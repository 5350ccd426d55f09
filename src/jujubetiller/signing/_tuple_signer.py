"""Signed tuples."""

import hashlib
from collections.abc import Sequence
from typing import Any

import itsdangerous
import msgpack


class TupleSigner:
    """Signs tuples of plain values and verifies signed text.

    The first of ``signing_keys`` signs and all of them verify, so that keys can be
    rotated. Each kind of text has its own ``salt``, so that one kind is not accepted as
    another.

    >>> signer = TupleSigner(["0123456789abcdef"], b"example", 200)
    >>> signer.unsign(signer.sign(("name", 7)))
    ['name', 7]
    >>> signer.unsign("name.7") is None
    True
    """

    def __init__(
        self, signing_keys: Sequence[str], salt: bytes, max_characters: int
    ) -> None:
        # Reversed because itsdangerous signs with the last key of the list.
        self.signer = itsdangerous.Signer(
            list(reversed(signing_keys)), salt=salt, digest_method=hashlib.sha256
        )
        self.max_characters = max_characters

    def sign(self, values: tuple[Any, ...]) -> str:
        """Return ``values`` as signed text."""
        payload = itsdangerous.encoding.base64_encode(msgpack.packb(values))
        return self.signer.sign(payload).decode()

    def unsign(self, text: str) -> list[Any] | None:
        """Return the values, or ``None`` if no signing key signed the text."""
        if len(text) > self.max_characters:
            return None
        try:
            payload = itsdangerous.encoding.base64_decode(self.signer.unsign(text))
            values = msgpack.unpackb(payload)
        except (itsdangerous.BadData, ValueError, TypeError):
            return None
        return values if isinstance(values, list) else None
