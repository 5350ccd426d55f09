"""Reads the days that the users' bench has played from its journal."""

import json
import pathlib
from typing import Any

import attrs

JOURNAL = pathlib.Path("journal")


@attrs.frozen
class JournalDay:
    """One day of one entry of the journal."""

    site: str
    name: str
    entry: str

    at: str
    """Start time of the entry, as recorded in the journal."""

    command: str
    why: str
    worth: float

    mark: float | None
    """The worth at which the day earns its full score; None for drawn days."""

    served: float
    refused: float
    failed: float
    processor_s: float
    prices: dict[str, float]
    broken: tuple[str, ...]
    """Rules that were broken, and the fault that ended the day early, if any."""


def read_days(folder: pathlib.Path = JOURNAL) -> list[JournalDay]:
    """Return all days by file name, that is, in the order of their start times.

    Raises ``ValueError`` that names the file if an entry is not valid JSON.
    """
    days: list[JournalDay] = []
    for path in sorted(folder.glob("*.json")):
        try:
            entry = json.loads(path.read_text())
        except ValueError as error:
            raise ValueError(f"{path}: {error}") from error
        days += [_read_day(entry, day) for day in entry["days"]]
    return days


def _read_day(entry: dict[str, Any], day: dict[str, Any]) -> JournalDay:
    fault = [str(day["fault"])] if day.get("fault") else []
    return JournalDay(
        site=entry["site"] or pathlib.PurePath(entry["argv"][0]).stem,
        name=day["name"],
        entry=entry["id"],
        at=entry["at"][0],
        command=entry["cmd"],
        why=entry["why"] or "",
        worth=day["G"],
        mark=day.get("top"),
        served=day["served"],
        refused=day["refused"],
        failed=day["failed"],
        processor_s=day["cpu_s"] or 0.0,
        prices={name: price for name, _, price in day["prices"]},
        broken=(*day["rules"], *fault),
    )
