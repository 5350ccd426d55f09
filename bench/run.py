"""Runs all measurements and writes their figures: ``python -m bench.run``.

The figures go to a file in ``results/`` as JSON lines, one for each figure.
"""

import datetime
import pathlib
import time
from collections.abc import Callable, Sequence

import defopt

from bench import (
    call_latency,
    call_rate,
    capacity_slopes,
    control_figures,
    figures,
    fleet_cost,
    idle_streams,
    overload_run,
)

PARTS: dict[str, Callable[[], list[figures.Figure]]] = {
    "latency": call_latency.measure,
    "rate": call_rate.measure,
    "overload": overload_run.measure,
    "fleet": fleet_cost.measure,
    "streams": idle_streams.measure,
    "control": control_figures.measure,
}


def print_comparison(found: Sequence[figures.Figure], earlier: pathlib.Path) -> None:
    """Print each figure next to its value in an earlier results file."""
    before = {one["name"]: one["value"] for one in figures.read_file(earlier)}
    print(f"\nagainst {earlier.name}:")
    for figure in found:
        old = before.get(figure.name)
        if old is None:
            print(f"{figure.name:<62}{figure.value:>12.4g} {figure.unit:<6} new")
            continue
        change = f"{(figure.value / old - 1) * 100:+.0f}%" if old else ""
        print(
            f"{figure.name:<62}{old:>12.4g} ->{figure.value:>10.4g} "
            f"{figure.unit:<6}{change}"
        )


def run(
    *,
    against: pathlib.Path | None = None,
    parts: tuple[str, ...] = tuple(PARTS),
    write_slopes: bool = False,
) -> None:
    """Run measurements, print their figures and write them to a file.

    :param against: an earlier results file to compare with
    :param parts: the measurements to run: latency, rate, overload, fleet,
        streams, control
    :param write_slopes: also write the figures that the capacity page uses
    """
    if unknown := sorted(set(parts) - set(PARTS)):
        raise SystemExit(f"parts: {unknown} not known, allowed are {', '.join(PARTS)}")
    figures.RESULTS.mkdir(exist_ok=True)
    now = datetime.datetime.now(datetime.UTC)
    path = figures.RESULTS / f"{now:%Y-%m-%dT%H%M%S}.jsonl"
    found: list[figures.Figure] = []
    for part in parts:
        facts = figures.collect_machine_facts()
        started_s = time.monotonic()
        measured = PARTS[part]()
        print(f"\n{part} ({time.monotonic() - started_s:.0f} s)")
        figures.print_figures(measured)
        with path.open("a") as results:
            results.writelines(one.as_line(facts) + "\n" for one in measured)
        found += measured
    missed = [figure.name for figure in found if figure.is_met() is False]
    print(f"\n{len(missed)} missed: {'; '.join(missed)}\nwritten to {path}")
    if write_slopes:
        capacity_slopes.write(found)
    if against is not None:
        print_comparison(found, against)


if __name__ == "__main__":
    defopt.run(run)
