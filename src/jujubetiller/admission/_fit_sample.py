"""The part of the observations that one fit of rates uses."""

import math
from collections.abc import Sequence
from typing import TypeVar

_Event = TypeVar("_Event")

MAX_FITTED_KINDS = 16
"""Kinds of requests that a fit distinguishes; those with less running time are fitted
as one kind, and their costs count as unknown."""

MAX_FIT_WORK = 40_000
"""Bound on the kept calls of a fit by the square of its kinds, with the fixed work of a
call in ``CALL_WORK``: a fit blocks the event loop, for about 5 ms at this bound."""

CALL_WORK = 30

OTHER_KINDS = "\n"
"""Stands for the kinds that are fitted as one; no kind has this name."""


def pool_kinds(exposures: dict[str, float]) -> tuple[dict[str, float], dict[str, str]]:
    """Return the running time by fitted kind, and the fitted kind of each kind.

    >>> pool_kinds({"a": 2.0})
    ({'a': 2.0}, {'a': 'a'})
    """
    names = {name: name for name in exposures}
    if len(exposures) > MAX_FITTED_KINDS:
        ordered = sorted(exposures, key=lambda name: -exposures[name])
        names |= dict.fromkeys(ordered[MAX_FITTED_KINDS - 1 :], OTHER_KINDS)
    fitted = dict.fromkeys(names.values(), 0.0)
    for name, fitted_name in names.items():
        fitted[fitted_name] += exposures[name]
    return fitted, names


def count_running(running: dict[str, int], names: dict[str, str]) -> dict[str, int]:
    """Return the numbers of running requests by fitted kind."""
    counts: dict[str, int] = {}
    for name, number in running.items():
        if name in names:
            counts[names[name]] = counts.get(names[name], 0) + number
    return counts


def thin_out(events: Sequence[_Event], kinds: int) -> list[_Event]:
    """Return events over the whole time of ``events``, fewer for more ``kinds``."""
    most = MAX_FIT_WORK // (CALL_WORK + kinds * kinds)
    step = math.ceil(len(events) / most)
    # The latest event is always kept.
    return list(events)[::-1][::step][::-1]
