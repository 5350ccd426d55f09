"""Run the soak: ``python -m soak --count 50``."""

import json
import pathlib
import tempfile
from typing import Any

import attrs
import defopt
from twisted.internet import defer, task

from soak import _run, _seeds, _site


def main(
    *,
    first: int = 1,
    count: int = 3,
    seconds: float = 8.0,
    keep: str = "",
    per_service: int = _site.PER_SERVICE,
) -> None:
    """Inject faults into local processes and check what clients and targets observe.

    The exit status is 1 if a promise was broken.

    :param first: the first seed; 0 runs the seeds that failed in the past
    :param count: the number of consecutive seeds
    :param seconds: the time during which faults of one seed are started
    :param keep: a folder for the logs of the nodes of each failed seed
    :param per_service: the number of instances of each of the two services
    """
    seeds = range(first, first + count) if first else _seeds.FAILED_SEEDS

    async def run_all(reactor: Any) -> None:
        outcomes = [
            await _run_seed(reactor, seed, seconds, keep, per_service) for seed in seeds
        ]
        if any(outcome.violations for outcome in outcomes):
            raise SystemExit(1)

    task.react(lambda reactor: defer.ensureDeferred(run_all(reactor)))


async def _run_seed(
    reactor: Any, seed: int, seconds: float, keep: str, per_service: int
) -> _run.Outcome:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        outcome = await _run.run(reactor, seed, seconds, folder, per_service)
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
