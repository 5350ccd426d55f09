"""Standard errors of fitted rates."""

import math

OVERDISPERSION = 2.0
"""Calls of one request follow each other closely, so their number varies more than a
Poisson process."""

_RIDGE = 1e-9
"""Relative addition to the diagonal, which keeps the matrix invertible."""


def estimate_standard_errors(
    rates: dict[str, float],
    events: list[tuple[float, dict[str, int]]],
) -> dict[str, float]:
    """Return the standard error of each rate, from the observed information.

    ``events`` are pairs of a weight and the numbers of requests that ran by kind.
    Kinds whose numbers rise and fall together get large errors.
    """
    names = [n for n in rates if any(n in running for _, running in events)]
    size = len(names)
    matrix = [[0.0] * size for _ in names]
    for weight, running in events:
        total = sum(n * rates.get(name, 0.0) for name, n in running.items())
        if total <= 0.0:
            continue
        counts = [running.get(name, 0) for name in names]
        factor = weight / (total * total)
        for i, first in enumerate(counts):
            if first:
                row = matrix[i]
                for j, second in enumerate(counts):
                    row[j] += factor * first * second
    inverse = _invert_diagonal(matrix)
    return {
        name: math.sqrt(OVERDISPERSION * variance) if variance >= 0.0 else math.inf
        for name, variance in zip(names, inverse, strict=True)
    }


def _invert_diagonal(matrix: list[list[float]]) -> list[float]:
    """Return the diagonal of the inverse, with infinity where there is none."""
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
            return [math.inf] * size
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
    return [rows[i][size + i] for i in range(size)]
