"""The fit of rates of calls to the requests that run when calls leave."""

import math

import attrs

from jujubetiller.admission import _weighted_call

_WeightedCall = _weighted_call.WeightedCall

OVERDISPERSION = 2.0
"""Calls of one request follow each other closely, so their number varies more than a
Poisson process."""

MIN_RATE_PER_MS = 1e-9

MAX_CHANGE = 3.0
"""Largest factor by which a Newton step changes a rate: far from the maximum, whole
steps overshoot."""

_RIDGE = 1e-9
"""Relative addition to the diagonal, which keeps the matrix invertible."""


@attrs.frozen
class RateFit:
    """Rates of calls by kind of the request, and how certain they are."""

    rates: dict[str, float]
    """Calls per running millisecond."""

    errors: dict[str, float]
    """Standard errors of the rates; infinite for kinds that cannot be distinguished."""


def refine_rates(
    rates: dict[str, float],
    exposures: dict[str, float],
    events: list[_WeightedCall],
    count: float,
) -> RateFit:
    """Return rates of greater likelihood and their standard errors.

    ``count`` is the number of calls that ``events`` are a sample of, ``exposures`` the
    running time by kind. A step of expectation maximisation, which approaches the
    maximum from everywhere but slowly, is followed by one of Newton's method, which
    needs few steps nearby. Kinds whose numbers rise and fall together get large errors.
    """
    scale = count / sum(event.weight for event in events)
    sums = _sum_by_rate(rates, events)
    rates = {
        name: max(rate * sums[name] * scale / exposures[name], MIN_RATE_PER_MS)
        for name, rate in rates.items()
    }
    sums = _sum_by_rate(rates, events)
    names = [name for name in rates if sums[name] > 0.0]
    inverse = _invert(_compute_information(rates, names, events))
    # A kind that never ran when a call left may have made the next one.
    errors = {name: 1.0 / exposures[name] for name in rates}
    if inverse is None:
        errors |= dict.fromkeys(names, math.inf)
        return RateFit(rates, errors)
    gradient = [sums[name] - exposures[name] / scale for name in names]
    for index, name in enumerate(names):
        step = sum(a * b for a, b in zip(inverse[index], gradient, strict=True))
        low, high = rates[name] / MAX_CHANGE, rates[name] * MAX_CHANGE
        rates[name] = max(min(max(rates[name] + step, low), high), MIN_RATE_PER_MS)
        variance = OVERDISPERSION * inverse[index][index]
        errors[name] = math.sqrt(variance) if variance >= 0.0 else math.inf
    return RateFit(rates, errors)


def _sum_by_rate(
    rates: dict[str, float], events: list[_WeightedCall]
) -> dict[str, float]:
    """Return, by kind, the sum of its running requests by the rate of all calls."""
    sums = dict.fromkeys(rates, 0.0)
    for event in events:
        total = sum(n * rates.get(name, 0.0) for name, n in event.running.items())
        if total > 0.0:
            factor = event.weight / total
            for name, number in event.running.items():
                if name in sums:
                    sums[name] += factor * number
    return sums


def _compute_information(
    rates: dict[str, float], names: list[str], events: list[_WeightedCall]
) -> list[list[float]]:
    """Return the observed information about the rates of ``names``."""
    positions = {name: index for index, name in enumerate(names)}
    matrix = [[0.0] * len(names) for _ in names]
    for event in events:
        found = [(positions[n], m) for n, m in event.running.items() if n in positions]
        total = sum(number * rates[names[index]] for index, number in found)
        if total <= 0.0:
            continue
        factor = event.weight / (total * total)
        for i, first in found:
            row = matrix[i]
            for j, second in found:
                row[j] += factor * first * second
    return matrix


def _invert(matrix: list[list[float]]) -> list[list[float]] | None:
    """Return the inverse of a symmetric matrix, or None if there is none."""
    size = len(matrix)
    rows = [
        [*row, *(1.0 if i == j else 0.0 for j in range(size))]
        for i, row in enumerate(matrix)
    ]
    for i in range(size):
        rows[i][i] *= 1.0 + _RIDGE
    for column in range(size):
        pivot = max(range(column, size), key=lambda i: abs(rows[i][column]))
        if abs(rows[pivot][column]) < 1e-30:
            return None
        rows[column], rows[pivot] = rows[pivot], rows[column]
        divisor = rows[column][column]
        rows[column] = [value / divisor for value in rows[column]]
        for i in range(size):
            if i != column and rows[i][column]:
                factor = rows[i][column]
                rows[i] = [
                    value - factor * other
                    for value, other in zip(rows[i], rows[column], strict=True)
                ]
    return [row[size:] for row in rows]
