"""Guards against faulty checks of client retry tokens.

Forged, expired and already used tokens must be rejected, and the table of used
tokens must not grow without bound.
"""

import random

import pytest

from jujubetiller import clock, codes, retries, settings

OLD, NEW = "old-signing-key-0001", "new-signing-key-0001"
RETRY_SETTINGS = settings.RetrySettings(used_tokens=100)


def make_node(
    unix_clock: clock.Clock, seed: int, *signing_keys: str
) -> retries.ClientRetries:
    signer = retries.RetryTokenSigner(signing_keys or (NEW,))
    return retries.ClientRetries(
        unix_clock, random.Random(seed), RETRY_SETTINGS, signer
    )


def test_client_retries_through_many_nodes_use_up_one_tree() -> None:
    unix_clock = clock.ManualClock(1_000_000)
    nodes = [make_node(unix_clock, seed) for seed in range(4)]
    text = nodes[0].issue(retries.RetryLedger(3), "tree", "ledger", "deposit")
    retry_count = 0
    while text:
        node = nodes[(retry_count + 1) % 4]
        token = node.redeem(text, "ledger", "deposit").unwrap()
        second_use = node.redeem(text, "ledger", "deposit")
        assert second_use.unwrap_err().code is codes.ResultCode.RETRY_TOKEN_USED
        assert token.tree_id == "tree"
        retry_count += 1
        ledger = retries.RetryLedger(token.tokens)
        text = node.issue(ledger, token.tree_id, "ledger", "deposit")
    assert retry_count == 3


def test_every_key_verifies_and_the_first_signs() -> None:
    unix_clock = clock.ManualClock()
    lost = codes.ResultCode.STREAM_LOST
    ledger = retries.RetryLedger(2)
    text = make_node(unix_clock, 1, NEW, OLD).issue(ledger, "t", "s", "k", lost)
    assert make_node(unix_clock, 2, OLD, NEW).redeem(text, "s", "k").is_ok()
    assert make_node(unix_clock, 3, OLD).redeem(text, "s", "k").is_err()
    token = make_node(unix_clock, 4, NEW).redeem(text, "s", "k").unwrap()
    assert (token.tokens, token.unknown_code) == (1, lost)


@pytest.mark.parametrize(
    ("text", "service", "waited_ms"),
    [
        ("", "s", 0),
        ("nonsense", "s", 0),
        ("x" * 5000, "s", 0),
        ("{token}x", "s", 0),
        ("{token}", "other", 0),
        ("{token}", "s", RETRY_SETTINGS.token_lifetime_ms),
    ],
)
def test_bad_tokens_are_rejected(text: str, service: str, waited_ms: float) -> None:
    unix_clock = clock.ManualClock()
    node = make_node(unix_clock, 1)
    token = node.issue(retries.RetryLedger(1), "t", "s", "k")
    unix_clock.advance(waited_ms)
    rejected = node.redeem(text.replace("{token}", token), service, "k")
    assert rejected.unwrap_err().code is codes.ResultCode.BAD_RETRY_TOKEN


def test_the_used_token_table_is_bounded_and_removes_expired_ids() -> None:
    unix_clock = clock.ManualClock()
    table = retries.UsedTokenTable(unix_clock, RETRY_SETTINGS)
    for number in range(101):
        assert table.use(str(number), expires_at_ms=1_000)
    assert (len(table.expires_at_ms), table.evicted) == (100, 1)
    assert not table.use("100", expires_at_ms=1_000)
    unix_clock.advance(1_000)
    assert table.use("next", expires_at_ms=2_000)
    assert (len(table.expires_at_ms), table.evicted) == (1, 1)
