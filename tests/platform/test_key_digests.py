"""Guards against keys that are kept or passed on, and readers that differ."""

import base64
import json
from typing import Any

import pytest
import result

from jujubetiller import platform, published, teams
from jujubetiller.platform import _key_digests, _store_answer
from standins.mesh_site import documents

REVISION = published.Revision(1, 7)
SECRET = "secret-key-1"
ROWS = [
    {"name": "kitchen", "api_keys": [SECRET, "secret-key-2"], "rate_per_s": 2.5},
    {"name": "cellar"},
    {"name": "attic", "api_keys": []},
]


def read(value: bytes, field: str = "items", key: str = "op/config") -> bytes | None:
    """Return the value that a reader keeps of an item in an answer of the store."""
    row = {"key": key, "revision": 7, "value": base64.b64encode(value).decode()}
    rows = _store_answer.StoreAnswer(200, {field: [row]}, 1).read_items(field)
    assert rows.problems == ()
    return rows.items[0].value


def decode(value: bytes | None) -> Any:
    item = published.PublishedItem("op/config", REVISION, value)
    return platform.PlatformDecoder().decode_configuration(item)


@pytest.mark.parametrize("field", ["items", "events"])
def test_listings_and_watches_keep_no_key_and_the_same_teams(field: str) -> None:
    raw = documents.encode(documents.CONFIGURATION, tenants=ROWS)
    kept = read(raw, field)
    assert kept is not None
    assert b"secret" not in kept
    assert decode(kept).unwrap() == decode(raw).unwrap()
    assert decode(kept).unwrap().team_table.find(SECRET).name == "kitchen"
    assert read(kept) == kept


def test_all_readers_keep_the_same_bytes() -> None:
    raw = documents.encode(documents.CONFIGURATION, tenants=ROWS)
    assert len({read(raw) for _ in range(3)}) == 1
    changed = [{**ROWS[0], "api_keys": [SECRET]}, *ROWS[1:]]
    assert read(documents.encode(documents.CONFIGURATION, tenants=changed)) != read(raw)


@pytest.mark.parametrize(
    "value",
    [
        documents.encode(documents.CONFIGURATION),
        b"{",
        b"[]",
        b"",
        b"\xff",
        b'{"version": 1e999}',
    ],
)
def test_an_item_without_keys_stays_as_it_is(value: bytes) -> None:
    assert read(value) == value


def test_other_items_stay_as_they_are() -> None:
    value = b'{"api_keys": ["secret"]}'
    assert read(value, key="servers/booth-1") == value


BAD_TEAMS: list[Any] = [
    SECRET,
    {"kitchen": SECRET},
    [SECRET],
    [[SECRET]],
    [{"name": "kitchen", "api_keys": SECRET}],
    [{"name": "kitchen", "api_keys": {"a": SECRET}}],
    [{"name": "kitchen", "api_keys": [[SECRET]]}],
    [{"name": "kitchen", "api_keys": [""]}],
    [{"name": "kitchen", "api_keys": [5]}],
    [{"name": "kitchen", "api_keys": ["\ud800"]}],
    [{"name": "kitchen", "api_keys": [SECRET]}, {"name": "b", "api_keys": [SECRET]}],
    [{"name": "kitchen", "api_key_digests": ["secret"]}],
    [{"name": "kitchen", "api_key_digests": ["0" * 63]}],
]


@pytest.mark.parametrize("rows", BAD_TEAMS, ids=range(len(BAD_TEAMS)))
def test_invalid_teams_are_rejected_with_and_without_their_keys(rows: Any) -> None:
    """Guards against a configuration that becomes valid where its keys are left out."""
    raw = documents.encode(documents.CONFIGURATION, tenants=rows)
    assert isinstance(decode(raw), result.Err)
    kept = read(raw)
    assert kept is not None
    problem = decode(kept).unwrap_err()
    assert SECRET not in str(problem)
    assert SECRET.encode() not in kept


UNREADABLE = [
    b'{"tenants": [{"api_keys": ["secret-key-1"]}',
    b'{"tenants": ["secret-key-1"',
    b'[{"api_keys": ["secret-key-1"]}]',
    b'{"api\\u005fkeys": "secret-key-1"',
    json.dumps({"tenants": [SECRET]}).encode("utf-16")[:-4],
    b'{"tenants": [{"api_keys": ["secret-key-1"]}], "tenants": []}',
    b'{"other": {"api_keys": ["secret-key-1"]}}',
    b'{"tenants":' + b"[" * 100_000 + b'"secret-key-1"',
]


@pytest.mark.parametrize("value", UNREADABLE, ids=range(len(UNREADABLE)))
def test_an_item_that_may_hold_keys_is_not_passed_on(value: bytes) -> None:
    kept = read(value)
    assert kept is not None
    assert b"secret" not in kept.replace(b"\0", b"")
    assert isinstance(decode(kept), result.Err)


def test_text_in_another_encoding_keeps_its_teams_and_no_key() -> None:
    raw = documents.encode(documents.CONFIGURATION, tenants=ROWS)
    kept = read(raw.decode().encode("utf-16"))
    assert kept is not None
    assert b"secret" not in kept.replace(b"\0", b"")
    assert decode(kept).unwrap() == decode(raw).unwrap()


def test_a_digest_is_no_key() -> None:
    """Guards against a node that accepts what other nodes pass on as a key."""
    kept = read(documents.encode(documents.CONFIGURATION, tenants=ROWS))
    table = decode(kept).unwrap().team_table
    assert table.find(teams.digest_key(SECRET).hex()) is None
    assert table.find(_key_digests.DIGESTS) is None
