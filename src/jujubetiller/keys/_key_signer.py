"""Execution keys as signed text."""

import random
from collections.abc import Sequence

import result

from jujubetiller import codes, signing
from jujubetiller.keys import _execution_key

# Holds four names of 100 characters, up to 4 bytes each, encoded in base64.
LONGEST_KEY_TEXT = 2_600

_KEY_ID_BYTES = 16
_FIELD_COUNT = 6
_SALT = b"jujubetiller.execution-key"

_BAD_KEY = codes.Problem(
    codes.ResultCode.BAD_KEY,
    "Jujubetiller-Key",
    "allowed are execution keys that a node of this fleet signed",
)


class KeySigner:
    """Mints and checks execution keys.

    The first signing key signs and all of them verify, so that signing keys can be
    rotated.
    """

    def __init__(self, signing_keys: Sequence[str]) -> None:
        self.signer = signing.TupleSigner(signing_keys, _SALT, LONGEST_KEY_TEXT)

    def mint(
        self,
        random_source: random.Random,
        service: str,
        kind: str,
        owner_instance: str,
        owner_boot_id: str,
        epoch: int,
    ) -> tuple[str, _execution_key.ExecutionKey]:
        """Return a new key as text, safe in an HTTP header, and as data.

        The random source must be seeded by the operating system in a running
        node: two nodes with the same seed would mint the same ids.
        """
        key = _execution_key.ExecutionKey(
            service=service,
            kind=kind,
            owner_instance=owner_instance,
            owner_boot_id=owner_boot_id,
            epoch=epoch,
            key_id=random_source.randbytes(_KEY_ID_BYTES),
        )
        text = self.signer.sign(
            (service, kind, owner_instance, owner_boot_id, epoch, key.key_id)
        )
        return text, key

    def verify(
        self, text: str
    ) -> result.Result[_execution_key.ExecutionKey, codes.Problem]:
        """Return the key if one of the signing keys signed the text."""
        fields = self.signer.unsign(text)
        if fields is None or len(fields) != _FIELD_COUNT:
            return result.Err(_BAD_KEY)
        return result.Ok(_execution_key.ExecutionKey(*fields))
