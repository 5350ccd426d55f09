"""Plays the seeds that ever failed, on real processes."""

import json
import subprocess
import sys

from soak import _seeds

SECONDS = "5"
TIMEOUT_S = 240


def test_seeds_that_failed_once_break_no_promise() -> None:
    finished = subprocess.run(
        [sys.executable, "-m", "soak", "--first", "0", "--seconds", SECONDS],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    outcomes = [json.loads(line) for line in finished.stdout.splitlines()]
    assert finished.returncode == 0, finished.stdout + finished.stderr
    assert [outcome["seed"] for outcome in outcomes] == list(_seeds.FAILED_SEEDS)
    assert [outcome["violations"] for outcome in outcomes] == [[]] * len(outcomes)
    assert all(outcome["served"] > 100 for outcome in outcomes)
