"""Demonstrates a site under load with a slow ledger and a planned stop of a node.

``make demo`` starts stand-ins and nodes as processes, sends requests through a
chain three services deep, and exits with a non-zero status if a promise was
broken.
"""

import json
import sys
import threading
import time
from typing import Any

from bench import klang
from standins import site

CALM_MS = 4_000
SLOW_MS = 4_000
RECOVERY_MS = 4_000
SLOW_LEDGER_RUN_MS = 120
RATES = {"job-status": 20.0, "swatch": 15.0, "book-slot": 8.0, "log-batch": 5.0}
SURGE = 2.0
STOPPED_NODE = "booth-2"


def make_load(local_site: site.LocalSite) -> dict[str, Any]:
    """Return the arguments of the load driver."""
    kinds = []
    for name, rate in RATES.items():
        kind_settings = klang.make_ticket()["objects"][f"request_kind/{name}"]
        kinds.append(
            {
                "name": name,
                "service": kind_settings["service"],
                "path": kind_settings["path_prefix"],
                "method": kind_settings["method"],
                "deadline_ms": kind_settings["deadline_ms"],
                "body_bytes": 64 if kind_settings["method"] == "POST" else 0,
                "rate": rate,
                "retries": 2,
                "retry_mode": "token",
            }
        )
    return {
        # As at a real site, clients don't use a node that is due for a planned stop.
        "entries": [
            local_site.edge_address(name)
            for name in local_site.nodes
            if name != STOPPED_NODE
        ],
        "kinds": kinds,
        "phases": [
            {"duration_ms": CALM_MS},
            {"duration_ms": SLOW_MS, "factor": SURGE},
            {"duration_ms": RECOVERY_MS},
        ],
        "report_markers": 100_000,
    }


def set_ledger_run_ms(local_site: site.LocalSite, run_ms: float) -> None:
    """Set the run time of all paths of every ledger target."""
    paths = {
        path: {**plan, "run_ms": run_ms} for path, plan in klang.PATHS["ledger"].items()
    }
    for plan in local_site.plan.instances:
        if plan.service == "ledger":
            local_site.put_target(plan.instance, "_paths", paths)


def show_progress(local_site: site.LocalSite, what: str, seconds: float) -> None:
    """Print one line that is overwritten while the load runs."""
    ends_at = time.monotonic() + seconds
    while (left_s := ends_at - time.monotonic()) > 0:
        runs = sum(local_site.target_runs(name)["runs"] for name in local_site.targets)
        print(f"\r{what:<34} {left_s:4.1f} s left, {runs:6d} runs", end="", flush=True)
        time.sleep(min(0.5, left_s))


def run_phases(local_site: site.LocalSite) -> int:
    """Slow the ledger, stop a node, restore the ledger; return the exit status."""
    show_progress(local_site, "calm", CALM_MS / 1000)
    set_ledger_run_ms(local_site, SLOW_LEDGER_RUN_MS)
    show_progress(local_site, "slow ledger and surge", SLOW_MS / 2000)
    stop_statuses: list[int] = []
    stop_thread = threading.Thread(
        target=lambda: stop_statuses.append(local_site.nodes[STOPPED_NODE].stop())
    )
    stop_thread.start()
    show_progress(local_site, f"{STOPPED_NODE} shuts down meanwhile", SLOW_MS / 2000)
    set_ledger_run_ms(local_site, klang.PATHS["ledger"]["/balance"]["run_ms"])
    show_progress(local_site, "recovery", RECOVERY_MS / 1000)
    stop_thread.join()
    print()
    return stop_statuses[0]


def print_table(summary: dict[str, Any]) -> None:
    """Print counts, latencies and result codes of the requests by kind."""
    print(f"{'kind':<12}{'sent':>6}{'good':>6}{'refused':>8}{'other':>6}"
          f"{'retried':>8}{'p50 ms':>8}{'p99 ms':>8}  codes")  # fmt: skip
    for name, counts in summary["kinds"].items():
        outcomes = counts["outcomes"]
        good, refused = outcomes.get("good", 0), outcomes.get("not-run", 0)
        codes = {code: n for code, n in counts["codes"].items() if code != "0"}
        print(
            f"{name:<12}{counts['requests']:>6}{good:>6}{refused:>8}"
            f"{counts['requests'] - good - refused:>6}"
            f"{counts['attempts'] - counts['requests']:>8}"
            f"{counts['good_ms'].get('p50', 0):>8.1f}"
            f"{counts['good_ms'].get('p99', 0):>8.1f}  {codes}"
        )


def measure_added(local_site: site.LocalSite) -> dict[str, float]:
    """Return the milliseconds that two nodes add to p50 and p99 of a call."""
    quantiles = {}
    target = local_site.target_address("swatch-1")
    for name, address in (
        ("direct", target),
        ("through nodes", local_site.edge_address("tracker-1")),
    ):
        kind = {
            "name": "swatch",
            "service": "swatch",
            "path": "/colours",
            "method": "GET",
            "deadline_ms": 1_500,
            "body_bytes": 0,
            "rate": 100.0,
        }
        plan = {
            "entries": [address],
            "kinds": [kind],
            "phases": [{"duration_ms": 2_000}],
            "name": name.replace(" ", "-"),
        }
        quantiles[name] = run_load(plan)["kinds"]["swatch"]["good_ms"]
    return {
        quantile: quantiles["through nodes"][quantile] - quantiles["direct"][quantile]
        for quantile in ("p50", "p99")
    }


def run_load(plan: dict[str, Any]) -> dict[str, Any]:
    """Run a load driver to its end and return its summary."""
    child = site.Child("standins.load", [json.dumps(plan)])
    try:
        child.read_hello()
        return dict(json.loads(child.read_line()))
    finally:
        child.close()


def explain_one(summary: dict[str, Any], local_site: site.LocalSite) -> bool:
    """Print why an answer was slow or refused; return whether there was one."""
    for counts in summary["kinds"].values():
        for record in counts["records"]:
            settings = local_site.make_settings(local_site.plan.instances[0])
            print(site.explain(record, settings))
            return True
    return False


def main() -> int:
    """Run the demonstration and return the exit status."""
    print("starting the platform, 12 targets and 12 nodes")
    with site.LocalSite(klang.make_plan()) as local_site:
        added = measure_added(local_site)
        load = site.Child("standins.load", [json.dumps(make_load(local_site))])
        try:
            load.read_hello()
            drain_status = run_phases(local_site)
            summary = json.loads(load.read_line())
        finally:
            load.close()
        runs = {name: local_site.target_runs(name) for name in local_site.targets}
        print_table(summary)
        print(
            f"added by two nodes: {added['p50']:.2f} ms at p50, "
            f"{added['p99']:.2f} ms at p99 (goal 0.55 ms at p99)"
        )
        explained = explain_one(summary, local_site)
    broken = site.find_broken_promises(
        [summary], runs, klang.NON_IDEMPOTENT_KINDS, klang.RETRY_TOKENS
    )
    if drain_status != 0:
        broken.append(f"the planned stop ended with status {drain_status}")
    if not explained:
        broken.append("no slow or refused answer could be explained")
    for sentence in broken:
        print(f"BROKEN: {sentence}")
    print("every promise checked here was kept" if not broken else "promises broke")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
