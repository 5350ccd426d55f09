"""Guards against a report that omits a day with a broken rule or a failed seed."""

import json
import pathlib
from typing import Any

import pytest

from bench import journal_days, report

DAY: dict[str, Any] = {
    "name": "scale-1",
    "G": 0.6,
    "top": 0.7,
    "served": 0.8,
    "refused": 0.1,
    "failed": 0.1,
    "cpu_s": 300.0,
    "prices": [["machine-seconds", 800.0, 0.05], ["GB between zones", 0.1, 0.02]],
    "rules": {"LOST": 1},
    "fault": None,
}
ENTRY: dict[str, Any] = {
    "id": "a1",
    "at": ["2026-12-04T10:00:00Z", ""],
    "cmd": "score",
    "argv": [".../ksp-mesh.toml"],
    "why": None,
    "site": None,
    "days": [DAY],
}


def read(folder: pathlib.Path, **changes: Any) -> list[journal_days.JournalDay]:
    (folder / "1.json").write_text(json.dumps({**ENTRY, **changes}))
    return journal_days.read_days(folder)


def test_a_day_is_reported_with_its_prices_and_broken_rules(
    tmp_path: pathlib.Path,
) -> None:
    days = read(tmp_path)
    assert days[0].site == "ksp-mesh"
    (row,) = report.render_days(days)[2:]
    assert row == (
        "| scale-1 | 0.600 | 0.700 | 0.800 | 0.100 | 0.100 | "
        "machine-seconds 0.050, GB between zones 0.020 | LOST |"
    )


def test_a_broken_day_of_a_hunt_is_named(tmp_path: pathlib.Path) -> None:
    slow_day = {**DAY, "rules": {}, "fault": "too slow"}
    lines = report.render_hunts(read(tmp_path, cmd="hunt", days=[DAY, slow_day]))
    assert lines[0] == "Hunts: 2 days, 2 of them with a broken rule."
    assert lines[2] == "- scale-1 (a1): too slow"


def test_an_entry_that_is_no_json_is_named(tmp_path: pathlib.Path) -> None:
    (tmp_path / "2.json").write_text("{")
    with pytest.raises(ValueError, match="2.json"):
        journal_days.read_days(tmp_path)


def test_a_seed_that_failed_is_named() -> None:
    outcome = {"seed": 4, "requests": 10, "recovery_s": None, "violations": ["x ran"]}
    lines = report.render_soak([outcome, {**outcome, "violations": []}])
    assert lines == [
        "2 seeds, 20 requests, 1 seeds with a broken promise; slowest recovery 0 s.",
        "- seed 4: x ran",
    ]
