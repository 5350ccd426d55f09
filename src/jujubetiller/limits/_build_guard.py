"""Builds a target guard from the settings."""

from jujubetiller import clock, settings
from jujubetiller.limits import _build_policy, _target_guard


def build_guard(
    time_source: clock.Clock,
    limit_settings: settings.LimitSettings,
    features: settings.FeatureSettings | None = None,
) -> _target_guard.TargetGuard:
    """Return a guard with the policy and the queue order of the settings.

    ``features`` may replace the policy by the learned limit.
    """
    is_learned = features is not None and features.target_limit == "learned"
    policy = "learned" if is_learned else limit_settings.policy
    return _target_guard.TargetGuard(
        time_source,
        _build_policy.build_policy(
            policy, limit_settings.lowest_limit, limit_settings.slots
        ),
        _build_policy.build_order(limit_settings.queue_order),
        limit_settings,
    )
