"""Guards against requests that crash one instance of their service after the other."""

from standins.fleet import mesh_fleet

SERVICES = {f"{s}-{zone}": s for s in ("booth", "ledger") for zone in (1, 2, 3)}
CALLERS = tuple(name for name in SERVICES if name.startswith("ledger"))

STEP_MS = 25.0
DEADLY_STEPS = 5
"""A copy of the deadly request comes with every fifth step."""

STABLE_WINDOW_MS = 3_000.0
MAX_LATE_RUNS = 3
"""Runs of a request later than ``STABLE_WINDOW_MS`` after its third crash."""


def start_fleet() -> mesh_fleet.MeshFleet:
    fleet = mesh_fleet.MeshFleet(SERVICES, work_ms=100.0)
    fleet.crash_plan.paths = {"/get/deadly", "/book/deadly"}
    return fleet


def play(fleet: mesh_fleet.MeshFleet, duration_ms: float, kind: str = "get") -> None:
    """Send proper requests, and copies of the deadly one at any of its callers."""
    for step in range(round(duration_ms / STEP_MS)):
        entry = CALLERS[step % len(CALLERS)]
        fleet.send(entry, name=f"proper-{len(fleet.sent)}")
        if not step % DEADLY_STEPS:
            fleet.send(entry, kind, name="deadly")
        fleet.network.run_for(STEP_MS)


def share_served(fleet: mesh_fleet.MeshFleet, since_ms: float) -> float:
    """Return the share of the proper requests from ``since_ms`` on that succeeded."""
    proper = [
        sent.reply
        for sent in fleet.sent
        if sent.name != "deadly" and since_ms <= sent.sent_at_ms
    ]
    return sum(r is not None and r.status == 200 for r in proper) / len(proper)


def count_late_runs(fleet: mesh_fleet.MeshFleet, path: str) -> int:
    """Return how often ``path`` ran long after it had crashed three instances."""
    crashes = [run.at_ms for run in fleet.crash_plan.crashes if run.path == path]
    if len(crashes) < 3:
        return 0
    return len(fleet.crash_plan.list_runs(path, crashes[2] + STABLE_WINDOW_MS))


def test_an_idempotent_request_that_crashes_instances_reaches_few_of_them() -> None:
    fleet = start_fleet()
    started_ms = fleet.network.now_ms
    play(fleet, 15_000.0)
    fleet.network.run_for(2_000.0)
    assert count_late_runs(fleet, "/get/deadly") <= MAX_LATE_RUNS
    assert share_served(fleet, started_ms + 5_000.0) > 0.99


def test_a_booking_that_crashes_instances_reaches_few_of_them() -> None:
    fleet = start_fleet()
    started_ms = fleet.network.now_ms
    play(fleet, 15_000.0, "book")
    fleet.network.run_for(2_000.0)
    assert count_late_runs(fleet, "/book/deadly") <= MAX_LATE_RUNS
    assert share_served(fleet, started_ms + 5_000.0) > 0.99
