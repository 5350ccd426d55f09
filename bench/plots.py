"""Draws a results file: ``python -m bench.plots``.

Writes one image, with baselines and bounds, for each group of figures with the same
unit.
"""

import pathlib
from typing import Any

import defopt
import matplotlib

from bench import figures

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the backend has to be chosen before.

GROUPS = {
    "latency": ("call,", "ms"),
    "rate": ("node: calls a second", "1/s"),
    "overload-goodput": ("good share of class", "%"),
    "overload-recovery": ("recovery time", "s"),
    "ticket": ("ticket in force", "s"),
    "idle-processor": ("processor of an idle node", "%"),
    "idle-bytes": ("idle node", "B/s"),
    "memory": ("resident memory", "MB"),
}
"""Image file name to a substring of the names of its figures, and their unit."""

BAR_HEIGHT = 0.38


def draw(rows: list[dict[str, Any]], unit: str, path: pathlib.Path) -> None:
    """Draw values and baselines as bars and bounds as marks."""
    figure, axes = pyplot.subplots(figsize=(10, 1.2 + 0.45 * len(rows)))
    positions = [float(at) for at in range(len(rows))]
    axes.barh(positions, [one["value"] for one in rows], BAR_HEIGHT, label="measured")
    axes.barh(
        [position + BAR_HEIGHT for position in positions],
        [one["baseline"] or 0.0 for one in rows],
        *(BAR_HEIGHT,),
        label="baseline",
        color="lightgrey",
    )
    bounded = [(at, one) for at, one in enumerate(rows) if one["bound"] is not None]
    axes.scatter(
        [one["bound"] for _, one in bounded],
        [at for at, _ in bounded],
        marker="|",
        s=200,
        color="red",
        label="bound",
    )
    axes.set_yticks(positions, [one["name"] for one in rows], fontsize=8)
    axes.invert_yaxis()
    axes.set_xlabel(unit)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def plots(*, results: pathlib.Path | None = None) -> None:
    """Draw the figures of a results file.

    :param results: the file; the newest one if not given
    """
    files = sorted(figures.RESULTS.glob("*.jsonl"))
    if results is None and not files:
        raise SystemExit("no results yet: run make bench")
    found = figures.read_file(results or files[-1])
    for name, (part, unit) in GROUPS.items():
        rows = [one for one in found if part in one["name"] and one["unit"] == unit]
        if rows:
            path = figures.RESULTS / f"{name}.png"
            draw(rows, unit, path)
            print(path)


if __name__ == "__main__":
    defopt.run(plots)
