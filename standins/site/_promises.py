"""Checks of the execution guarantees, from target counters and client results."""

import collections
from collections.abc import Collection, Iterable, Mapping
from typing import Any


def sum_runs(runs_by_instance: Mapping[str, Any]) -> collections.Counter[str]:
    """Return the runs of each marker over all targets."""
    runs: collections.Counter[str] = collections.Counter()
    for report in runs_by_instance.values():
        runs.update(report["by_marker"])
    return runs


def find_broken_promises(
    summaries: Iterable[Mapping[str, Any]],
    runs_by_instance: Mapping[str, Any],
    non_idempotent_kinds: Collection[str],
    retry_tokens: int,
) -> list[str]:
    """Return a sentence for each violation of an execution guarantee (promise).

    ``summaries`` are those of load drivers with ``report_markers`` set, and
    ``runs_by_instance`` the counters of all targets. Every request kind must grant
    ``retry_tokens`` retry tokens, and requests of non-idempotent kinds must lead to
    non-idempotent nested calls only.
    """
    broken: list[str] = []
    runs = sum_runs(runs_by_instance)
    runs_by_tree: dict[str, dict[str, int]] = {}
    for marker, count in runs.items():
        runs_by_tree.setdefault(marker.split("/")[0], {})[marker] = count
    for instance, report in runs_by_instance.items():
        broken += [
            f"key {key[:20]} ran {count} times at {instance}"
            for key, count in report["by_key"].items()
            if count > 1
        ]
    for summary in summaries:
        for kind, counts in summary["kinds"].items():
            if counts["outcomes"].get("faulty"):
                broken.append(f"{kind}: {counts['faults']} answers were not whole")
        for request in summary["requests"]:
            tree = runs_by_tree.get(request["marker"], {})
            broken += _check_request(
                request, tree, request["kind"] in non_idempotent_kinds, retry_tokens
            )
    return broken


def _check_request(
    request: Mapping[str, Any],
    tree: Mapping[str, int],
    is_non_idempotent: bool,
    retry_tokens: int,
) -> list[str]:
    marker = request["marker"]
    broken = []
    if request["end"] == "not-run" and tree.get(marker):
        broken.append(f"{marker} was told not-run and ran {tree[marker]} times")
    if is_non_idempotent:
        broken += [
            f"non-idempotent {name} ran {count} times"
            for name, count in tree.items()
            if count > 1
        ]
    repeats = sum(tree.values()) - len(tree)
    if repeats > retry_tokens:
        broken.append(f"the tree of {marker} has {repeats} repeats")
    return broken
