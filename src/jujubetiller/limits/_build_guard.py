"""Builds a target guard from the settings."""

from jujubetiller import clock, settings
from jujubetiller.limits import _build_policy, _target_guard


def build_guard(
    time_source: clock.Clock, limit_settings: settings.LimitSettings
) -> _target_guard.TargetGuard:
    """Return a guard with the policy and the queue order of the settings."""
    return _target_guard.TargetGuard(
        time_source,
        _build_policy.build_policy(
            limit_settings.policy, limit_settings.lowest_limit, limit_settings.slots
        ),
        _build_policy.build_order(limit_settings.queue_order),
        limit_settings,
    )
