"""Run the soak: ``python -m soak --count 50``."""

import json
import pathlib
import tempfile
from typing import Any

import attrs
import defopt
from twisted.internet import defer, task

from soak import _run, _seeds


def main(
    *, first: int = 1, count: int = 3, seconds: float = 8.0, keep: str = ""
) -> None:
    """Play faults on local processes and check what clients and instances see.

    The exit status is 1 if a promise was broken.

    :param first: the first seed; 0 stands for the seeds that ever failed
    :param count: how many seeds in a row
    :param seconds: how long the faults of one seed are played
    :param keep: a folder that gets the nodes' logs of each seed that failed
    """
    seeds = range(first, first + count) if first else _seeds.FAILED_SEEDS

    async def play_all(reactor: Any) -> None:
        outcomes = [await _play_one(reactor, seed, seconds, keep) for seed in seeds]
        if any(outcome.violations for outcome in outcomes):
            raise SystemExit(1)

    task.react(lambda reactor: defer.ensureDeferred(play_all(reactor)))


async def _play_one(reactor: Any, seed: int, seconds: float, keep: str) -> _run.Outcome:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        outcome = await _run.run(reactor, seed, seconds, folder)
        print(json.dumps(_describe(outcome)), flush=True)
        if outcome.violations and keep:
            kept = pathlib.Path(keep) / f"seed-{seed}"
            kept.mkdir(parents=True, exist_ok=True)
            for log in folder.glob("*.log"):
                (kept / log.name).write_bytes(log.read_bytes())
            (kept / "outcome.json").write_text(json.dumps(attrs.asdict(outcome)))
    return outcome


def _describe(outcome: _run.Outcome) -> dict[str, Any]:
    return {
        "seed": outcome.seed,
        "planned_only": outcome.is_planned_only,
        "requests": outcome.requests,
        "served": outcome.served,
        "recovery_s": outcome.recovery_s,
        "faults": len(outcome.events),
        "violations": list(outcome.violations[:10]),
    }


if __name__ == "__main__":
    defopt.run(main)
