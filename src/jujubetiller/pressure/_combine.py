"""The pressure level that an answer reports to the caller."""


def combine(own: int | None, below: int | None) -> int | None:
    """Return the stricter of two levels; None stands for no refusal.

    >>> combine(300, None)
    300
    >>> combine(300, 200)
    200
    """
    if own is None:
        return below
    if below is None:
        return own
    return min(own, below)
