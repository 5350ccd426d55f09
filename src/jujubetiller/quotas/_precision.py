"""The precision of amounts of tokens, in messages and in sums."""

import math

WIRE_UNITS_PER_TOKEN = 1_000.0
"""Messages carry amounts as whole thousandths of a token."""

TOLERANCE = 1e-6
"""Sums of amounts in thousandths are not exact; smaller differences do not count."""

WHOLE_TOKEN = 1.0 - TOLERANCE
"""The least amount that counts as one token."""


def round_down(amount: float) -> float:
    """Return ``amount`` rounded down to the precision of messages.

    >>> round_down(0.33355)
    0.333
    """
    return math.floor(amount * WIRE_UNITS_PER_TOKEN) / WIRE_UNITS_PER_TOKEN


def round_up(amount: float) -> float:
    """Return ``amount`` rounded up to the precision of messages.

    >>> round_up(0.33355)
    0.334
    """
    return math.ceil(amount * WIRE_UNITS_PER_TOKEN) / WIRE_UNITS_PER_TOKEN


def count_wire_units(amount: float) -> int:
    """Return ``amount`` in wire units, rounded down but for inexact sums.

    >>> count_wire_units(0.1 + 0.7)
    800
    """
    return math.floor(amount * WIRE_UNITS_PER_TOKEN + TOLERANCE)


def read_wire_units(units: int) -> float:
    """Return the amount of tokens that ``units`` stand for."""
    return units / WIRE_UNITS_PER_TOKEN
