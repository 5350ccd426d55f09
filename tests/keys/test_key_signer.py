"""Guards against forged keys, and valid keys rejected after signing key rotation."""

import random

import pytest

from bench import key_use
from jujubetiller import codes, keys

OLD, NEW = "old-signing-key-0001", "new-signing-key-0001"


def mint(*signing_keys: str) -> tuple[str, keys.ExecutionKey]:
    return keys.KeySigner(signing_keys).mint(
        random.Random(1), "ledger", "deposit", "ledger-1", "boot-1", 7
    )


def test_every_key_verifies_and_the_first_signs() -> None:
    text, key = mint(NEW, OLD)
    assert keys.KeySigner((OLD, NEW)).verify(text).unwrap() == key
    assert keys.KeySigner((OLD,)).verify(text).is_err()


@pytest.mark.parametrize("text", ["", "a.b", "{key}x", "x{key}", "é", "x" * 9999])
def test_unsigned_text_is_rejected(text: str) -> None:
    minted, _ = mint(NEW)
    rejected = keys.KeySigner((NEW,)).verify(text.replace("{key}", minted))
    assert rejected.unwrap_err().code is codes.ResultCode.BAD_KEY


def test_only_an_unsent_key_minted_here_is_certified_without_its_owner() -> None:
    for minted_here, sent in ((True, True), (False, False), (False, True)):
        assert not key_use.KeyUse(minted_here, sent).may_certify_not_run()
    assert key_use.KeyUse(minted_here=True).may_certify_not_run()
