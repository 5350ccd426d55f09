"""Measured figures: their bounds, output and statistics."""

import datetime
import json
import os
import pathlib
import platform
import statistics
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

RESULTS = pathlib.Path("results")


@attrs.frozen
class Figure:
    """One measured value with its baseline of the same run and its bound.

    ``bound`` comes from the targets in ``docs/design.md``. A figure without a
    bound is printed without a verdict.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None
    bound: float | None = None
    more_is_better: bool = False

    def is_met(self) -> bool | None:
        """Return whether the bound is met, or None without a bound."""
        if self.bound is None:
            return None
        if self.more_is_better:
            return self.value >= self.bound
        return self.value <= self.bound

    def verdict(self) -> str:
        """Return ``met``, ``missed`` or an empty text.

        >>> Figure("latency", 0.6, "ms", bound=0.55).verdict()
        'missed'
        """
        return {True: "met", False: "missed", None: ""}[self.is_met()]

    def as_line(self, facts: dict[str, Any]) -> str:
        """Return the figure as a line of JSON with the machine's facts."""
        document = attrs.asdict(self) | {"verdict": self.verdict()} | facts
        return json.dumps(document)


def collect_machine_facts() -> dict[str, Any]:
    """Return the facts about the machine on which the figures depend."""
    return {
        "cores": os.cpu_count(),
        "load_1m": round(os.getloadavg()[0], 1),
        "python": platform.python_version(),
        "taken": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
    }


def find_quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of ``values`` lie.

    >>> find_quantile([4, 1, 3, 2], 0.5)
    3
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def fit_slope(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Return slope and intercept of the least squares line.

    >>> fit_slope([1, 2, 3], [5, 7, 9])
    (2.0, 3.0)
    """
    fitted = statistics.linear_regression(xs, ys)
    return fitted.slope, fitted.intercept


def read_file(path: pathlib.Path) -> list[dict[str, Any]]:
    """Return the documents of a results file."""
    return [json.loads(line) for line in path.read_text().splitlines() if line]


def print_figures(figures: Iterable[Figure]) -> None:
    """Print a line for each figure."""
    for figure in figures:
        baseline = "" if figure.baseline is None else f"baseline {figure.baseline:.4g}"
        bound = "" if figure.bound is None else f"bound {figure.bound:g}"
        print(
            f"{figure.name:<58}{figure.value:>12.4g} {figure.unit:<10}"
            f"{baseline:<20}{bound:<14}{figure.verdict()}",
            flush=True,
        )
