"""Compares limit policies, queue orders and entry admission under one overload.

Run with ``python -m bench.policy_comparison [--seeds N] [--match WORD]``. Writes one
JSON line per run and prints a table. ``docs/decisions/limits.md`` defines the
figures.
"""

import argparse
import itertools
import json
import multiprocessing
import pathlib
import statistics
from typing import Any

import attrs

from bench import overload_model as model

WARM_MS = 2_000.0
NORMAL_UTILISATION = 0.6
CLIENT_RETRIES = 3
WINDOW_MS = 200.0
WINDOWS_IN_A_ROW = 5
GOOD_SHARE = 0.95
GOOD_LATENCY = 1.5
# Requests that arrive this close to the end may lack an answer only because the run
# ends.
UNFINISHED_MS = 2_000.0

_UPPER_WORK_MS = 5.0
_DEEP_WORK_MS = 60.0


def make_site(
    name: str,
    upper: tuple[str, str, str],
    deepest: str,
    upper_size: tuple[int, int, int],
    deep_size: tuple[int, int, int],
    kind_names: tuple[str, str, str, str, str],
) -> model.Site:
    """Return a site; sizes are instances, slots and connections."""
    front, middle, back = upper
    services = {
        service: model.ServiceSize(*upper_size, _UPPER_WORK_MS) for service in upper
    }
    services[deepest] = model.ServiceSize(*deep_size, _DEEP_WORK_MS)
    long_chain = (front, middle, back, deepest)
    rows = (
        (3, 0.35, (front, back, deepest), 800.0),
        (2, 0.25, long_chain, 800.0),
        (3, 0.15, (front, back), 800.0),
        (1, 0.12, (middle, back, deepest), 1_500.0),
        (0, 0.13, long_chain, 1_500.0),
    )
    kinds = tuple(
        model.Kind(kind_name, *row)
        for kind_name, row in zip(kind_names, rows, strict=True)
    )
    return model.Site(name, services, deepest, kinds)


SITES = {
    site.name: site
    for site in (
        make_site(
            "klang",
            ("swatch", "booth", "tracker"),
            "ledger",
            (3, 190, 1_200),
            (3, 25, 250),
            ("swatch lookup", "pattern lookup", "trace lookup", "deposit", "booking"),
        ),
        make_site(
            "khomas",
            ("catalogue", "orders", "stockroom"),
            "fittings",
            (4, 55, 420),
            (4, 15, 200),
            ("pattern lookup", "stock lookup", "shelf lookup", "payout", "order"),
        ),
    )
}

VARIANTS = (
    model.Variant("plain", "arrival", False),
    *itertools.starmap(
        model.Variant,
        itertools.product(
            ("fixed", "additive", "gradient"), ("arrival", "priority"), (False, True)
        ),
    ),
    *(
        model.Variant(policy, slots_factor=4.0)
        for policy in ("fixed", "additive", "gradient")
    ),
)


@attrs.frozen
class Load:
    """When the overload happens and how strong it is."""

    begins_ms: float = 5_000.0
    ends_ms: float = 10_000.0
    run_ends_ms: float = 20_000.0
    slowdown: float = 3.0
    """Factor on the work of the deepest service."""

    surge: float = 2.5
    """Factor on the request rate."""


@attrs.define
class Request:
    """A client's request with all its attempts."""

    kind: model.Kind
    at_ms: float
    answered_ms: float | None = None


def normal_rate_per_ms(site: model.Site) -> float:
    """Return the rate at which the deepest service has its normal utilisation."""
    size = site.services[site.deepest]
    capacity = size.instances * size.slots * model.KNEE_SHARE / size.work_ms
    share = sum(kind.share for kind in site.kinds if site.deepest in kind.chain)
    return NORMAL_UTILISATION * capacity / share


class Clients:
    """Sends requests at a rate that rises in the overload, and retries each failure."""

    def __init__(self, fleet: model.Fleet, load: Load) -> None:
        self.fleet = fleet
        self.load = load
        self.loop = fleet.loop
        self.rate = normal_rate_per_ms(fleet.site)
        self.requests: list[Request] = []
        self.loop.after(0.0, self._arrive)

    def _arrive(self) -> None:
        kinds = self.fleet.site.kinds
        kind = self.loop.random.choices(kinds, [kind.share for kind in kinds])[0]
        now_ms = self.loop.clock.reading_ms
        request = Request(kind, now_ms)
        self.requests.append(request)
        self._attempt(request, str(len(self.requests)), CLIENT_RETRIES)
        overloaded = self.load.begins_ms <= now_ms < self.load.ends_ms
        rate = self.rate * (self.load.surge if overloaded else 1.0)
        self.loop.after(self.loop.random.expovariate(rate), self._arrive)

    def _attempt(self, request: Request, request_id: str, retries: int) -> None:
        def done(succeeded: bool) -> None:
            if succeeded:
                request.answered_ms = self.loop.clock.reading_ms
            elif retries:
                self.loop.after(
                    self.loop.random.uniform(50.0, 150.0),
                    lambda: self._attempt(request, request_id, retries - 1),
                )

        self.fleet.attempt(request.kind, request_id, done)


def run(
    site: model.Site, variant: model.Variant, seed: int, load: Load
) -> dict[str, Any]:
    """Return the figures of one run."""
    loop = model.EventLoop(seed)
    fleet = model.Fleet(site, variant, loop)
    clients = Clients(fleet, load)
    loop.after(load.begins_ms, lambda: fleet.set_slowdown(load.slowdown))
    loop.after(load.ends_ms, lambda: fleet.set_slowdown(1.0))
    loop.run_until(load.run_ends_ms)
    seconds = (load.ends_ms - load.begins_ms) / 1_000
    offered, good = [0] * 4, [0] * 4
    for request in clients.requests:
        if load.begins_ms <= request.at_ms < load.ends_ms:
            offered[request.kind.priority_class] += 1
            good[request.kind.priority_class] += request.answered_ms is not None
    worked = sum(node.target.calls_worked for node in fleet.all_nodes)
    useful = sum(
        len(request.kind.chain)
        for request in clients.requests
        if request.answered_ms is not None
    )
    return {
        "site": site.name,
        "variant": variant.name,
        "seed": seed,
        "good_share": [
            round(part / whole, 4) for part, whole in zip(good, offered, strict=True)
        ],
        "goodput_per_s": round(sum(good) / seconds, 1),
        "offered_per_s": round(sum(offered) / seconds, 1),
        "normal_good_share": round(
            _summarise_normal_load(clients.requests, load)[0], 4
        ),
        "recovery_ms": recovery_ms(clients.requests, load),
        "wasted_calls_per_request": round((worked - useful) / len(clients.requests), 3),
        "requests": len(clients.requests),
    }


def _summarise_normal_load(requests: list[Request], load: Load) -> tuple[float, float]:
    # Requests of the last second before the overload may still be running when it
    # begins.
    return _summarise(
        [r for r in requests if WARM_MS <= r.at_ms < load.begins_ms - 1_000.0]
    )


def _summarise(requests: list[Request]) -> tuple[float, float]:
    """Return the answered share and the mean latency of the answered ones."""
    latencies = [
        request.answered_ms - request.at_ms
        for request in requests
        if request.answered_ms is not None
    ]
    mean = statistics.fmean(latencies) if latencies else float("inf")
    return len(latencies) / max(1, len(requests)), mean


def recovery_ms(requests: list[Request], load: Load) -> float | None:
    """Return the time from the end of the overload to recovery, None if not reached.

    Recovery is the start of the first of ``WINDOWS_IN_A_ROW`` windows in a row in
    which at least ``GOOD_SHARE`` of the arriving requests are answered, with a mean
    latency of at most ``GOOD_LATENCY`` times the normal one.
    """
    normal_latency = _summarise_normal_load(requests, load)[1]
    windows: dict[int, list[Request]] = {}
    for request in requests:
        if request.at_ms >= load.ends_ms:
            number = int((request.at_ms - load.ends_ms) / WINDOW_MS)
            windows.setdefault(number, []).append(request)
    usable = int((load.run_ends_ms - UNFINISHED_MS - load.ends_ms) / WINDOW_MS)
    in_a_row = 0
    for number in range(usable):
        share, latency = _summarise(windows.get(number, []))
        good = share >= GOOD_SHARE and latency <= GOOD_LATENCY * normal_latency
        in_a_row = in_a_row + 1 if good else 0
        if in_a_row == WINDOWS_IN_A_ROW:
            return (number + 1 - WINDOWS_IN_A_ROW) * WINDOW_MS
    return None


def _run_job(job: tuple[str, model.Variant, int]) -> dict[str, Any]:
    return run(SITES[job[0]], job[1], job[2], Load())


def _format_range(values: list[float]) -> str:
    return f"{statistics.median(values):.0f} ({min(values):.0f} to {max(values):.0f})"


def print_table(lines: list[dict[str, Any]]) -> None:
    """Print the median, minimum and maximum of each variant as a Markdown table."""
    print(
        "| site | variant | goodput per s | class 0 % | class 1 % | class 2 % "
        "| class 3 % | recovery ms | wasted calls per 100 requests |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    groups: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for line in lines:
        groups.setdefault((line["site"], line["variant"]), []).append(line)
    load = Load()
    never_ms = load.run_ends_ms - UNFINISHED_MS - load.ends_ms
    for (site, variant), runs in groups.items():
        shares = [
            _format_range([100 * line["good_share"][priority_class] for line in runs])
            for priority_class in range(4)
        ]
        recovery = [
            never_ms if line["recovery_ms"] is None else line["recovery_ms"]
            for line in runs
        ]
        goodput = _format_range([line["goodput_per_s"] for line in runs])
        wasted = _format_range(
            [100 * line["wasted_calls_per_request"] for line in runs]
        )
        cells = [site, variant, goodput, *shares, _format_range(recovery), wasted]
        print("| " + " | ".join(cells) + " |")


def main() -> None:
    """Run the chosen variants at both sites."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--match", default="", help="part of a variant's name")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument(
        "--output", type=pathlib.Path, default="results/policy_comparison.jsonl"
    )
    arguments = parser.parse_args()
    variants = [variant for variant in VARIANTS if arguments.match in variant.name]
    seeds = range(1, arguments.seeds + 1)
    jobs = list(itertools.product(SITES, variants, seeds))
    with multiprocessing.Pool(arguments.processes) as pool:
        lines = pool.map(_run_job, jobs, chunksize=1)
    arguments.output.parent.mkdir(parents=True, exist_ok=True)
    arguments.output.write_text("".join(json.dumps(line) + "\n" for line in lines))
    print_table(lines)


if __name__ == "__main__":
    main()
