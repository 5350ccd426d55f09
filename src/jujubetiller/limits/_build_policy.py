"""Builds limit policies and queue orders by their names in settings and tickets."""

from collections.abc import Callable

from jujubetiller.limits import (
    _additive_increase_limit_policy,
    _arrival_queue_order,
    _fixed_limit_policy,
    _gradient_limit_policy,
    _learned_limit_policy,
    _limit_policy,
    _priority_queue_order,
    _queue_order,
)

_POLICIES: dict[str, Callable[[int, int, int | None], _limit_policy.LimitPolicy]] = {
    "fixed": lambda lowest, slots, initial: _fixed_limit_policy.FixedLimitPolicy(slots),
    "learned": lambda lowest, slots, initial: _learned_limit_policy.LearnedLimitPolicy(
        lowest, slots
    ),
    "additive": lambda lowest, slots, initial: (
        _additive_increase_limit_policy.AdditiveIncreaseLimitPolicy(
            lowest, slots, initial=initial
        )
    ),
    "gradient": lambda lowest, slots, initial: (
        _gradient_limit_policy.GradientLimitPolicy(lowest, slots, initial=initial)
    ),
}

_ORDERS: dict[str, Callable[[], _queue_order.QueueOrder]] = {
    "arrival": _arrival_queue_order.ArrivalQueueOrder,
    "priority": _priority_queue_order.PriorityQueueOrder,
}


def build_policy(
    name: str, lowest: int, slots: int, initial: int | None = None
) -> _limit_policy.LimitPolicy:
    """Return the policy ``name``; adaptive ones start at ``initial`` if it is given."""
    return _POLICIES[name](lowest, slots, initial)


def build_order(name: str) -> _queue_order.QueueOrder:
    """Return the queue order ``name``."""
    return _ORDERS[name]()
