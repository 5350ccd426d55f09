"""Writes a page from journal and soak results: ``python -m bench.report``."""

import json
import pathlib
from collections.abc import Iterable, Sequence
from typing import Any

import defopt
import matplotlib

from bench import figures, journal_days

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the backend has to be chosen before.

REPORT = figures.RESULTS / "report"
MIN_PLAYS = 3
"""Days with fewer plays are left out of the plot."""

HUNT = "hunt"

_Days = Sequence[journal_days.JournalDay]


def group_by_name(days: Iterable[journal_days.JournalDay]) -> dict[str, _Days]:
    """Return the days grouped by name, in the order of the names."""
    grouped: dict[str, list[journal_days.JournalDay]] = {}
    for day in days:
        grouped.setdefault(day.name, []).append(day)
    return dict(sorted(grouped.items()))


def draw_worth(site: str, days: _Days, path: pathlib.Path) -> None:
    """Draw the worth of each standard day over its plays, with its mark."""
    figure, axes = pyplot.subplots(figsize=(9, 5))
    for name, plays in group_by_name(days).items():
        if len(plays) < MIN_PLAYS:
            continue
        (line,) = axes.plot([day.worth for day in plays], marker="o", label=name)
        if plays[-1].mark is not None:
            axes.axhline(plays[-1].mark, color=line.get_color(), linestyle=":")
    axes.set_xlabel("plays in the order of the journal")
    axes.set_ylabel("worth (dotted: mark)")
    axes.set_title(site)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def render_days(days: _Days) -> list[str]:
    """Return a table of the newest play of each day."""
    lines = [
        "| day | worth | mark | served | refused | failed | largest prices | broken |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name, plays in group_by_name(days).items():
        day = plays[-1]
        prices = sorted(day.prices.items(), key=lambda item: -item[1])
        named = [f"{what} {price:.3f}" for what, price in prices[:3]]
        mark = "" if day.mark is None else f"{day.mark:.3f}"
        lines.append(
            f"| {name} | {day.worth:.3f} | {mark} | {day.served:.3f} | "
            f"{day.refused:.3f} | {day.failed:.3f} | {', '.join(named)} | "
            f"{', '.join(day.broken)} |"
        )
    return lines


def render_hunts(days: _Days) -> list[str]:
    """Return how many drawn days were played and which of them broke a rule."""
    hunted = [day for day in days if day.command == HUNT]
    broken = [day for day in hunted if day.broken]
    lines = [f"Hunts: {len(hunted)} days, {len(broken)} of them with a broken rule."]
    lines += [f"- {day.name} ({day.entry}): {', '.join(day.broken)}" for day in broken]
    return lines


def render_soak(outcomes: Sequence[dict[str, Any]]) -> list[str]:
    """Return a summary of the soak, and the broken promises of each seed."""
    broken = [outcome for outcome in outcomes if outcome["violations"]]
    recoveries = [o["recovery_s"] for o in outcomes if o["recovery_s"] is not None]
    requests = sum(outcome["requests"] for outcome in outcomes)
    lines = [
        f"{len(outcomes)} seeds, {requests} requests, {len(broken)} seeds with a "
        f"broken promise; slowest recovery {max(recoveries, default=0.0):.0f} s."
    ]
    lines += [f"- seed {o['seed']}: {'; '.join(o['violations'])}" for o in broken]
    return lines


def report(*, soak: pathlib.Path | None = None) -> None:
    """Write the page and its plots to results/report.

    :param soak: what ``python -m soak`` printed, a JSON line for each seed
    """
    REPORT.mkdir(parents=True, exist_ok=True)
    days = journal_days.read_days()
    lines = ["# Report", ""]
    for site in sorted({day.site for day in days}):
        of_site = [day for day in days if day.site == site]
        standard = [day for day in of_site if day.command != HUNT]
        plot = REPORT / f"{site}.png"
        draw_worth(site, standard, plot)
        lines += [f"## {site}", "", f"![worth]({plot.name})", ""]
        lines += [*render_days(standard), "", *render_hunts(of_site), ""]
    if soak is not None:
        outcomes = [json.loads(line) for line in soak.read_text().splitlines()]
        lines += ["## Soak", "", *render_soak(outcomes), ""]
    page = REPORT / "index.md"
    page.write_text("\n".join(lines))
    print(page)


if __name__ == "__main__":
    defopt.run(report)
