"""Guards against items decoded wrongly, and invalid items or settings accepted."""

from typing import Any

import attrs
import pytest
import result

from jujubetiller import codes, platform, published, routes, settings
from jujubetiller.platform import _configuration, _instances
from standins.mesh_site import documents

DECODER = platform.PlatformDecoder()


def make_item(key: str, value: bytes) -> published.PublishedItem:
    return published.PublishedItem(key, published.Revision(0, 7), value)


def test_an_entry_of_an_instance_is_decoded_completely() -> None:
    item = make_item("servers/i-1", documents.encode(documents.INSTANCE))
    assert DECODER.instance_name(item.key) == "i-1"
    assert DECODER.decode_instance(item).unwrap() == published.PublishedInstance(
        "i-1",
        "ledger",
        "a",
        settings.Address("127.0.0.1", 8301),
        29,
        False,
        1500.0,
        1_700_000_000_000,
        4,
    )


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", None),
        ("service", 5),
        ("service", ""),
        ("address", "127.0.0.1"),
        ("address", "name.example:80"),
        ("address", "127.0.0.1:99999"),
        ("address", "127.0.0.1:" + "9" * 5_000),
        ("zone", []),
        ("capacity", 0),
        ("capacity", "29"),
        ("capacity", True),
        ("capacity", 10**400),
        ("state", "gone"),
        ("state", None),
        ("warmup_left", "soon"),
        ("warmup_left", "9" * 400 + "s"),
        ("born", -1),
        ("born", "1"),
    ],
)
def test_a_wrong_field_of_an_entry_is_named(field: str, value: Any) -> None:
    item = make_item(
        "servers/i-1", documents.encode(documents.INSTANCE, **{field: value})
    )
    decoded = DECODER.decode_instance(item)
    assert isinstance(decoded, result.Err)
    assert decoded.err_value.code is codes.ResultCode.BAD_ITEM
    assert decoded.err_value.field.startswith("servers/i-1.")


@pytest.mark.parametrize("error", [ValueError, OverflowError, RecursionError])
def test_an_unexpected_error_in_one_entry_is_a_problem_of_that_entry(
    error: type[Exception], monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(name: str, entry: Any, now_ms: float) -> None:
        raise error("out of range")

    monkeypatch.setattr(_instances, "translate_instance", fail)
    decoded = DECODER.decode_instance(make_item("servers/i-1", b"{}"))
    assert decoded.unwrap_err().field == "servers/i-1"


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[1]", b'"x"', b"{", b"null"])
def test_invalid_documents_are_rejected(value: bytes) -> None:
    assert DECODER.decode_instance(make_item("servers/i", value)).is_err()
    assert DECODER.decode_configuration(make_item("op/config", value)).is_err()


def test_a_configuration_that_several_components_read_is_decoded_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a node that stands still while it decodes thousands of routes."""
    translated: list[Any] = []
    translate = _configuration.translate_configuration

    def count(document: Any) -> routes.Configuration:
        translated.append(document)
        return translate(document)

    monkeypatch.setattr(_configuration, "translate_configuration", count)
    decoder = platform.PlatformDecoder()
    for version in ("0000000c", "0000000d", "0000000c"):
        value = documents.encode(documents.CONFIGURATION, version=version)
        item = make_item("op/config", value)
        assert decoder.read_version(item) is not None
        assert decoder.decode_configuration(item).unwrap().version == int(version, 16)
    assert len(translated) == 2


def test_a_configuration_is_decoded_completely() -> None:
    item = make_item("op/config", documents.encode(documents.CONFIGURATION))
    assert DECODER.is_configuration(item.key)
    configuration = DECODER.decode_configuration(item).unwrap()
    assert configuration.version == 12
    assert configuration.services == {"ledger", "booth", "swatch"}
    assert configuration.routes == (
        routes.Route(
            "read",
            "a.example",
            "/read/",
            (routes.Destination("ledger", 90), routes.Destination("booth", 10)),
            True,
            5000.0,
            1200.0,
            2,
            2,
        ),
        routes.Route(
            "book",
            "a.example",
            "/book/",
            (routes.Destination("booth"),),
            False,
            800.0,
            1500.0,
            2,
            0,
        ),
    )
    assert configuration.bounds == routes.RequestBounds()


@pytest.mark.parametrize(
    ("place", "field", "value"),
    [
        ("rule", "kind", "often"),
        ("rule", "match", {"prefix": "read"}),
        ("rule", "name", None),
        ("rule", "priority", 2**40),
        ("action", "timeout", "5 minutes"),
        ("action", "max_attempts", 0),
        ("action", "timeout", "0ms"),
        ("action", "weighted_services", [{"service": "ledger"}]),
        ("action", "weighted_services", [{"service": "ledger", "weight": 0}]),
        ("action", "weighted_services", [{"service": "nowhere", "weight": 1}]),
        ("action", "service", "nowhere"),
        ("action", "service", None),
    ],
)
def test_a_wrong_field_of_a_rule_rejects_the_version(
    place: str, field: str, value: Any
) -> None:
    listener = documents.CONFIGURATION["listeners"][0]
    rule = listener["rules"][1]
    if place == "rule":
        changed = {**rule, field: value}
    else:
        changed = {**rule, "action": {**rule["action"], field: value}}
    document = documents.encode(
        documents.CONFIGURATION, listeners=[{**listener, "rules": [changed]}]
    )
    assert DECODER.decode_configuration(make_item("op/config", document)).is_err()


@pytest.mark.parametrize(
    "version", [None, "", "-1", "0x1f", "1_0", " 1", "1f\n", "g", "1" * 17, 12]
)
def test_a_wrong_version_is_named(version: Any) -> None:
    """Guards against a number that other nodes read as another version."""
    document = documents.encode(documents.CONFIGURATION, version=version)
    decoded = DECODER.decode_configuration(make_item("op/config", document))
    assert decoded.unwrap_err().field == "op/config.version"


def test_settings_are_read_and_unknown_fields_are_ignored() -> None:
    loaded = platform.load_settings(documents.SETTINGS.encode()).unwrap()
    assert loaded.node == "sidecar-a-1"
    assert loaded.listen.peer == settings.Address("127.0.0.1", 7620)
    assert loaded.target.address == settings.Address("127.0.0.1", 8301)
    assert loaded.store.address == settings.Address("127.0.0.9", 8309)
    assert loaded.grace_ms == 6_000


@pytest.mark.parametrize(
    ("apply", "stable"),
    [("2000ms", "3000ms"), ("3s", "4s"), ("2.5s", "3s"), ("3s", "1s"), ("6s", "3s")],
)
def test_a_silent_store_is_noticed_before_changes_must_be_in_force(
    apply: str, stable: str
) -> None:
    """Guards against waits that fit the bounds of one deployment only."""
    bounds = f'[bounds]\nconfig_apply = "{apply}"\nstable_window = "{stable}"\n'
    text = documents.SETTINGS.replace("[bounds]\n", bounds)
    assert bounds in text
    loaded = platform.load_settings(text.encode()).unwrap()
    store = loaded.store
    noticed_ms = store.primary_wait_ms + store.watch_answer_ms
    limit_ms = max(
        float(each.rstrip("ms")) * (1 if "ms" in each else 1_000)
        for each in (apply, stable)
    )
    assert noticed_ms + loaded.exchange_ms <= limit_ms


def load_with_bounds(lines: str) -> Any:
    text = documents.SETTINGS.replace("[bounds]\n", f"[bounds]\n{lines}\n")
    return platform.load_settings(text.encode())


@pytest.mark.parametrize(
    ("lines", "changes"),
    [
        ("", {}),
        ("retry_budget_ratio = 0.5", {"ratio": 0.1}),
        ("retry_budget_ratio = 0", {"ratio": 0.0}),
        ('budget_window = "30s"', {"window_ms": 30_000}),
        ("budget_slack = 100", {"fleet_slack": 75.0}),
    ],
)
def test_the_retry_budget_follows_the_settings(
    lines: str, changes: dict[str, float]
) -> None:
    """Guards against a budget that a deployment has lowered and no node keeps to."""
    repeats = load_with_bounds(lines).unwrap().repeats
    expected = {**attrs.asdict(settings.RepeatSettings()), **changes}
    assert attrs.asdict(repeats) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("retry_budget_ratio = -0.1", "bounds.retry_budget_ratio"),
        ("retry_budget_ratio = 6", "bounds.retry_budget_ratio"),
        ("retry_budget_ratio = true", "bounds.retry_budget_ratio"),
        ("retry_budget_ratio = nan", "bounds.retry_budget_ratio"),
        ('budget_slack = "many"', "bounds.budget_slack"),
        ('budget_window = "10ms"', "bounds.budget_window"),
        ('budget_window = "700s"', "budget_window"),
        ("budget_window = 5", "budget_window"),
    ],
)
def test_a_wrong_retry_budget_is_named(line: str, field: str) -> None:
    problem = load_with_bounds(line).unwrap_err()
    assert problem.code is codes.ResultCode.BAD_SETTINGS
    assert problem.field == field


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('zone = "a"', "", "zone"),
        ('grace = "6s"', 'grace = "six"', "grace"),
        ("[7620, 7635]", "[7620]", "port_range"),
        ("127.0.0.1:8304", "localhost:8304", "host"),
        ("[platform]", "[plat]", "platform"),
        ("ip =", "ip", "document"),
    ],
)
def test_a_wrong_setting_is_named(old: str, new: str, field: str) -> None:
    loaded = platform.load_settings(documents.SETTINGS.replace(old, new).encode())
    assert isinstance(loaded, result.Err)
    assert loaded.err_value.code is codes.ResultCode.BAD_SETTINGS
    assert loaded.err_value.field == field
